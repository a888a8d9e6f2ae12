package io.verbenatrack.server.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.server.command.EntryReply;

/**
 * Decisions that are not yet committed, and the callers waiting for the commit.
 */
final class PendingBatch {

	private final List<SchedulingDecision> decisions = new ArrayList<>();

	private final List<Waiter> waiters = new ArrayList<>();

	void add(List<SchedulingDecision> newDecisions) {
		this.decisions.addAll(newDecisions);
	}

	void replyAfterCommit(CompletableFuture<EntryReply> future, EntryReply reply) {
		this.waiters.add(new Waiter(future, reply));
	}

	List<SchedulingDecision> decisions() {
		return this.decisions;
	}

	boolean isEmpty() {
		return this.decisions.isEmpty();
	}

	void moveWaitersFrom(PendingBatch other) {
		this.waiters.addAll(other.waiters);
		other.waiters.clear();
	}

	void completeWaiters() {
		this.waiters.forEach((waiter) -> waiter.future.complete(waiter.reply));
	}

	void failWaiters(EntryReply reply) {
		this.waiters.forEach((waiter) -> waiter.future.complete(reply));
	}

	private record Waiter(CompletableFuture<EntryReply> future, EntryReply reply) {

	}

}
