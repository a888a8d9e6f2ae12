package io.verbenatrack.server.log;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

import io.verbenatrack.scheduling.Scheduler;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.SchedulingView;
import io.verbenatrack.state.RecordCodec;

/**
 * The committed state of all jobs and workers.
 */
public final class JobsState {

	private static final byte[] APPLIED = { 1 };

	private static final byte[] STALE = { 0 };

	private final Supplier<Scheduler> schedulerFactory;

	private final RecordCodec codec;

	private Scheduler committed;

	private long sequence;

	/**
	 * Creates an empty state.
	 * @param schedulerFactory creates empty schedulers
	 * @param codec encodes batches
	 */
	public JobsState(Supplier<Scheduler> schedulerFactory, RecordCodec codec) {
		this.schedulerFactory = schedulerFactory;
		this.codec = codec;
		this.committed = schedulerFactory.get();
	}

	synchronized byte[] apply(byte[] command) {
		DecisionBatch batch = this.codec.decode(command, DecisionBatch.class);
		if (batch.sequence() != this.sequence + 1) {
			return STALE.clone();
		}
		this.sequence = batch.sequence();
		this.committed.apply(batch.decisions());
		return APPLIED.clone();
	}

	/**
	 * Returns whether a batch was applied.
	 * @param result the result of the log command
	 * @return true if its sequence followed that of the previous batch
	 */
	public static boolean isApplied(byte[] result) {
		return result.length == 1 && result[0] == APPLIED[0];
	}

	/**
	 * Copies the state, for a leader to make decisions on.
	 * @return the copy
	 */
	public synchronized Copy copy() {
		Scheduler copy = this.schedulerFactory.get();
		copy.apply(this.committed.replay());
		return new Copy(this.sequence, copy);
	}

	/**
	 * Returns the view for operators.
	 * @return a snapshot of the committed state
	 */
	public synchronized SchedulingView view() {
		return this.committed.view();
	}

	synchronized byte[] snapshot() {
		return this.codec.encode(new DecisionBatch(this.sequence, this.committed.replay()));
	}

	synchronized void restore(byte[] snapshot) {
		DecisionBatch batch = this.codec.decode(snapshot, DecisionBatch.class);
		List<SchedulingDecision> decisions = new ArrayList<>(batch.decisions());
		this.committed = this.schedulerFactory.get();
		this.committed.apply(decisions);
		this.sequence = batch.sequence();
	}

	/**
	 * A copy of the state, on which a leader makes decisions.
	 *
	 * @param sequence the sequence of the last batch applied to the state
	 * @param scheduler the scheduler
	 */
	public record Copy(long sequence, Scheduler scheduler) {

	}

}
