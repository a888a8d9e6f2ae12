package io.verbenatrack.scheduling.rules;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import io.verbenatrack.model.Urgency;
import io.verbenatrack.scheduling.state.GangLease;
import io.verbenatrack.scheduling.state.JobRecord;
import io.verbenatrack.scheduling.state.SchedulingState;

/**
 * Tells which jobs may be moved, by checkpoint and a new place, for a large waiting gang.
 */
public final class Defragmentation {

	/** A job that was moved this often stays until it ends. */
	static final int MAXIMUM_MOVES = 3;

	/**
	 * A job keeps a place at least this long, so that moving costs little of its time.
	 */
	static final Duration MINIMUM_RUN = Duration.ofMinutes(3);

	private Defragmentation() {
	}

	/**
	 * Whether a job may be moved for another.
	 * @param state the state
	 * @param victim the job that holds accelerators
	 * @param large the waiting gang
	 * @param now the time
	 * @return whether it borrows or is of the same account, is smaller, can save its
	 * progress and was not moved much
	 */
	public static boolean mayMove(SchedulingState state, JobRecord victim, JobRecord large, Instant now) {
		if (victim.leaving() || victim.cancelledAt().isPresent()) {
			return true;
		}
		GangLease lease = victim.lease().orElseThrow();
		Optional<Instant> startedAt = lease.startedAt();
		boolean settled = startedAt.isPresent() && Duration.between(startedAt.get(), now).compareTo(MINIMUM_RUN) >= 0;
		boolean own = victim.spec().account().equals(large.spec().account());
		boolean smaller = victim.spec().shape().accelerators() < large.spec().shape().accelerators();
		boolean movable = victim.spec().checkpointable() && victim.spec().urgency() != Urgency.URGENT;
		return settled && smaller && movable && victim.reclaims() < MAXIMUM_MOVES
				&& (own || state.regions().covering(victim.spec().account(), lease.placement()).isEmpty());
	}

}
