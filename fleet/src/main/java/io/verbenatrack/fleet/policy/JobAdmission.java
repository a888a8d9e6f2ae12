package io.verbenatrack.fleet.policy;

import java.util.Map;

import io.verbenatrack.fleet.state.Cancellations;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.model.AccountId;

/**
 * Decides whether the replicas have the memory for another job.
 *
 * <p>
 * Half of the memory is divided among the client accounts. What an account uses beyond
 * its share comes from the other half, so that no account takes the share of another one.
 *
 * @param maxBytes the maximum memory of all jobs in bytes, by the estimates of their
 * states
 */
public record JobAdmission(long maxBytes) {

	/** The jobs may take one part of so many of the heap. */
	private static final long HEAP_PARTS = 4;

	/**
	 * The recorded cancellations may take as much as one of so many parts of the jobs, in
	 * addition to them.
	 */
	private static final long CANCELLATION_PARTS = 8;

	/** Callers of queues without API keys use an account that no configuration names. */
	private static final int UNNAMED_ACCOUNTS = 1;

	/**
	 * Returns the admission for replicas with a heap of the same size as this process.
	 * @param heapBytes the maximum size of the heap in bytes
	 * @return the admission
	 */
	public static JobAdmission ofHeap(long heapBytes) {
		return new JobAdmission(heapBytes / HEAP_PARTS);
	}

	/**
	 * Returns whether a job may be accepted.
	 * @param state the state of the fleet
	 * @param undecided the memory of the jobs that are accepted but not yet in the state,
	 * in bytes by account
	 * @param account the client account of the job
	 * @param bytes the memory that the job may take
	 * @return whether its account is within its share, or can borrow from the common half
	 */
	public boolean admits(FleetState state, Map<AccountId, Long> undecided, AccountId account, long bytes) {
		long share = share(state);
		long use = use(state, undecided, account) + bytes;
		if (use <= share) {
			return true;
		}
		long borrowed = use - share;
		for (AccountId other : state.bytesByAccount().keySet()) {
			if (!other.equals(account)) {
				borrowed += Math.max(0, use(state, undecided, other) - share);
			}
		}
		return borrowed <= this.maxBytes / 2;
	}

	/**
	 * Returns whether the cancellation of an unknown job may be recorded. Each account
	 * has the same room for them and borrows none, so that no account takes the room of
	 * another one or of jobs.
	 * @param state the state of the fleet
	 * @param undecided how many cancellations of the account are accepted but not yet in
	 * the state
	 * @param account the client account that cancels the job
	 * @return whether the account has room for another cancellation
	 */
	public boolean admitsCancellation(FleetState state, int undecided, AccountId account) {
		long bytes = state.cancellations().bytes(account) + (undecided + 1) * Cancellations.BYTES;
		return bytes <= maxCancellationBytes(state);
	}

	/**
	 * Returns how much memory the recorded cancellations of an account may take.
	 * @param state the state of the fleet
	 * @return the maximum in bytes
	 */
	public long maxCancellationBytes(FleetState state) {
		return this.maxBytes / CANCELLATION_PARTS / accounts(state);
	}

	private long share(FleetState state) {
		return this.maxBytes / 2 / accounts(state);
	}

	private static int accounts(FleetState state) {
		return UNNAMED_ACCOUNTS
				+ state.configuration().map((known) -> known.configuration().accounts().size()).orElse(0);
	}

	private static long use(FleetState state, Map<AccountId, Long> undecided, AccountId account) {
		return state.bytesByAccount().getOrDefault(account, 0L) + undecided.getOrDefault(account, 0L);
	}

}
