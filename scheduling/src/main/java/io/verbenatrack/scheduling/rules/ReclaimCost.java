package io.verbenatrack.scheduling.rules;

import java.time.Duration;
import java.time.Instant;

import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.Urgency;
import io.verbenatrack.scheduling.state.GangLease;
import io.verbenatrack.scheduling.state.JobRecord;
import io.verbenatrack.scheduling.state.SchedulingState;

/**
 * Computes the cost of evicting borrowing jobs for a guaranteed gang. It is lowest for
 * the least work lost since the last checkpoint and the fewest gangs stopped.
 */
public final class ReclaimCost {

	/**
	 * The maximum time from a guaranteed demand to free accelerators, including the
	 * answers of workers.
	 */
	public static final Duration RECLAIM_DEADLINE = Duration.ofMillis(1_800);

	/** The time after which an eviction is abandoned in favour of other accelerators. */
	public static final Duration EVICTION_TIMEOUT = Duration.ofMillis(1_300);

	/** The cost of stopping and restarting one gang, in accelerator milliseconds. */
	private static final double RESTART_COST_ACCELERATOR_MS = 30_000;

	/**
	 * The fraction of the work since the last checkpoint that counts as lost although the
	 * job can checkpoint within the grace period.
	 */
	private static final double LOST_WORK_FRACTION = 0.2;

	private static final double URGENT_COST_FACTOR = 4;

	private ReclaimCost() {
	}

	/**
	 * Returns the cost of evicting a job.
	 * @param state the state
	 * @param victim a job that holds accelerators
	 * @param now the time
	 * @return the cost in accelerator milliseconds, 0 for a job that is already releasing
	 * its accelerators or cancelled, infinite for work within a guarantee
	 */
	public static double of(SchedulingState state, JobRecord victim, Instant now) {
		if (victim.releasing() || victim.cancelledAt().isPresent()) {
			return 0;
		}
		GangLease lease = victim.lease().orElseThrow();
		if (state.regions().containing(victim.spec().account(), lease.placement()).isPresent()) {
			return Double.POSITIVE_INFINITY;
		}
		return ofBorrower(victim, lease, now);
	}

	/**
	 * Returns the cost of evicting a job as if it were borrowing.
	 * @param victim the job
	 * @param lease its lease
	 * @param now the time
	 * @return the cost in accelerator milliseconds
	 */
	public static double ofBorrower(JobRecord victim, GangLease lease, Instant now) {
		GangPlacement placement = lease.placement();
		double ranMs = lease.startedAt().map((start) -> Duration.between(start, now).toMillis()).orElse(0L);
		double checkpointedMs = victim.checkpointed().minus(victim.checkpointedBefore()).toMillis();
		double unsavedMs = Math.max(0, ranMs - checkpointedMs);
		double lostMs = victim.spec().checkpointable() ? unsavedMs * LOST_WORK_FRACTION
				: ranMs + victim.checkpointedBefore().toMillis();
		double cost = RESTART_COST_ACCELERATOR_MS + lostMs * placement.accelerators();
		return (victim.spec().urgency() == Urgency.URGENT) ? cost * URGENT_COST_FACTOR : cost;
	}

}
