package io.verbenatrack.scheduling.rules;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import io.verbenatrack.model.Urgency;
import io.verbenatrack.scheduling.state.GangLease;
import io.verbenatrack.scheduling.state.JobRecord;
import io.verbenatrack.scheduling.state.SchedulingState;

/**
 * Decides which jobs may be moved, by checkpoint and a new placement, to free
 * accelerators for a large waiting gang.
 */
public final class Defragmentation {

	/** A job that was reclaimed this often is not moved again. */
	static final int MAXIMUM_MOVES = 3;

	/**
	 * The minimum time on a placement before a job is moved, which limits the overhead of
	 * moves.
	 */
	static final Duration MINIMUM_TIME_ON_PLACEMENT = Duration.ofMinutes(3);

	private Defragmentation() {
	}

	/**
	 * Returns whether a job may be moved to make room for another.
	 * @param state the state
	 * @param victim the job that holds accelerators
	 * @param large the waiting gang
	 * @param now the time
	 * @return whether the job is already releasing its accelerators or cancelled; or
	 * borrows or belongs to the same account, is smaller, can be checkpointed, is not
	 * urgent, and was neither placed recently nor moved too often
	 */
	public static boolean mayMove(SchedulingState state, JobRecord victim, JobRecord large, Instant now) {
		if (victim.releasing() || victim.cancelledAt().isPresent()) {
			return true;
		}
		GangLease lease = victim.lease().orElseThrow();
		Optional<Instant> startedAt = lease.startedAt();
		boolean ranMinimumTime = startedAt.isPresent()
				&& Duration.between(startedAt.get(), now).compareTo(MINIMUM_TIME_ON_PLACEMENT) >= 0;
		boolean sameAccount = victim.spec().account().equals(large.spec().account());
		boolean smaller = victim.spec().shape().accelerators() < large.spec().shape().accelerators();
		boolean movable = victim.spec().checkpointable() && victim.spec().urgency() != Urgency.URGENT;
		return ranMinimumTime && smaller && movable && victim.reclaims() < MAXIMUM_MOVES
				&& (sameAccount || state.regions().containing(victim.spec().account(), lease.placement()).isEmpty());
	}

}
