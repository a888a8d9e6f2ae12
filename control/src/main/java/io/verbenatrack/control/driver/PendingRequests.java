package io.verbenatrack.control.driver;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.verbenatrack.control.ProposalOutcome;

/**
 * The futures of unfinished proposals and leadership confirmations, by token.
 */
final class PendingRequests {

	private final AtomicLong tokens = new AtomicLong();

	private final Map<Long, CompletableFuture<ProposalOutcome>> proposals = new ConcurrentHashMap<>();

	private final Map<Long, CompletableFuture<Optional<Long>>> confirmations = new ConcurrentHashMap<>();

	long addProposal(CompletableFuture<ProposalOutcome> future) {
		long token = this.tokens.incrementAndGet();
		this.proposals.put(token, future);
		return token;
	}

	long addConfirmation(CompletableFuture<Optional<Long>> future) {
		long token = this.tokens.incrementAndGet();
		this.confirmations.put(token, future);
		return token;
	}

	void complete(long token, ProposalOutcome outcome) {
		CompletableFuture<ProposalOutcome> proposal = this.proposals.remove(token);
		if (proposal != null) {
			proposal.complete(outcome);
			return;
		}
		confirm(token, Optional.empty());
	}

	void confirm(long token, Optional<Long> term) {
		CompletableFuture<Optional<Long>> confirmation = this.confirmations.remove(token);
		if (confirmation != null) {
			confirmation.complete(term);
		}
	}

	void completeAllAsUnknown() {
		this.proposals.keySet().forEach((token) -> complete(token, new ProposalOutcome.Unknown()));
		this.confirmations.keySet().forEach((token) -> confirm(token, Optional.empty()));
	}

}
