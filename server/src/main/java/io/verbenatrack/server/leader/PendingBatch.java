package io.verbenatrack.server.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.server.command.EntryReply;

/**
 * Decisions that are not committed yet, and the callers that wait for them.
 */
final class PendingBatch {

	private final List<SchedulingDecision> decisions = new ArrayList<>();

	private final List<Waiter> waiters = new ArrayList<>();

	void add(List<SchedulingDecision> more) {
		this.decisions.addAll(more);
	}

	void answerAfterCommit(CompletableFuture<EntryReply> caller, EntryReply reply) {
		this.waiters.add(new Waiter(caller, reply));
	}

	List<SchedulingDecision> decisions() {
		return this.decisions;
	}

	boolean isEmpty() {
		return this.decisions.isEmpty();
	}

	void takeWaitersOf(PendingBatch other) {
		this.waiters.addAll(other.waiters);
		other.waiters.clear();
	}

	void committed() {
		this.waiters.forEach((waiter) -> waiter.caller.complete(waiter.reply));
	}

	void failed(EntryReply reply) {
		this.waiters.forEach((waiter) -> waiter.caller.complete(reply));
	}

	private record Waiter(CompletableFuture<EntryReply> caller, EntryReply reply) {

	}

}
