package io.verbenatrack.scheduling.rules;

import java.time.Duration;
import java.time.Instant;

import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.Urgency;
import io.verbenatrack.scheduling.state.GangLease;
import io.verbenatrack.scheduling.state.JobRecord;
import io.verbenatrack.scheduling.state.SchedulingState;

/**
 * Prices the borrowers that would have to leave for a guaranteed gang: least lost work
 * since their last checkpoint, and fewest gangs broken.
 */
public final class Reclaim {

	/** From the demand to a clear placement, the answers of workers included. */
	public static final Duration BOUND = Duration.ofMillis(1_800);

	/** Past this, accelerators that are not clear yet are given up for others. */
	public static final Duration PATIENCE = Duration.ofMillis(1_300);

	/** The price of stopping and starting one gang again, in accelerator milliseconds. */
	private static final double BROKEN_GANG = 30_000;

	/** The share of unsaved work that a checkpoint within the grace does not save. */
	private static final double UNSAVED_SHARE = 0.2;

	private static final double URGENT_FACTOR = 4;

	private Reclaim() {
	}

	/**
	 * The price of stopping a job.
	 * @param state the state
	 * @param victim a job that holds accelerators
	 * @param now the time
	 * @return accelerator milliseconds, infinite for work within a guarantee
	 */
	public static double price(SchedulingState state, JobRecord victim, Instant now) {
		if (victim.leaving() || victim.cancelledAt().isPresent()) {
			return 0;
		}
		GangLease lease = victim.lease().orElseThrow();
		if (state.regions().covering(victim.spec().account(), lease.placement()).isPresent()) {
			return Double.POSITIVE_INFINITY;
		}
		return priceOfBorrower(victim, lease, now);
	}

	/**
	 * The price of stopping a job, whether it borrows or not.
	 * @param victim the job
	 * @param lease its lease
	 * @param now the time
	 * @return accelerator milliseconds
	 */
	public static double priceOfBorrower(JobRecord victim, GangLease lease, Instant now) {
		GangPlacement placement = lease.placement();
		double ranMs = lease.startedAt().map((start) -> Duration.between(start, now).toMillis()).orElse(0L);
		double keptMs = victim.kept().minus(victim.keptBefore()).toMillis();
		double unsavedMs = Math.max(0, ranMs - keptMs);
		double lost = victim.spec().checkpointable() ? unsavedMs * UNSAVED_SHARE
				: ranMs + victim.keptBefore().toMillis();
		double price = BROKEN_GANG + lost * placement.accelerators();
		return (victim.spec().urgency() == Urgency.URGENT) ? price * URGENT_FACTOR : price;
	}

}
