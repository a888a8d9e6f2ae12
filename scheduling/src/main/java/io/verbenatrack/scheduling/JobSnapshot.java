package io.verbenatrack.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import io.verbenatrack.model.FencingToken;
import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.JobOutcome;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.WorkerId;

/**
 * Everything that is remembered of a job, to recreate it in a fresh scheduler.
 *
 * @param job what was declared
 * @param phase the state of the job chart
 * @param reason why it is there
 * @param submittedAt when it was accepted
 * @param waitingSince since when it waits, or waited before its placement
 * @param sequence its place in the order of acceptance, from 1
 * @param kept the run time that checkpoints cover
 * @param keptBefore the same when the present placement was made
 * @param progress the run time completed, as last reported
 * @param reclaims how often it was told to save and leave
 * @param cancelledAt when the caller cancelled it
 * @param failures where members failed, in order
 * @param lease the hold on accelerators
 * @param outcome the outcome, once there is one
 */
public record JobSnapshot(JobSpec job, String phase, String reason, Instant submittedAt, Instant waitingSince,
		long sequence, Duration kept, Duration keptBefore, Duration progress, int reclaims,
		Optional<Instant> cancelledAt, List<Failure> failures, Optional<Lease> lease, Optional<JobOutcome> outcome) {

	/**
	 * A member of the job failed.
	 *
	 * @param worker where
	 * @param successesBefore members that had finished on that worker before
	 */
	public record Failure(WorkerId worker, int successesBefore) {

	}

	/**
	 * The hold of a gang on its accelerators.
	 *
	 * @param token the number that fences it
	 * @param placement the accelerators
	 * @param phase the state of the lease chart
	 * @param placedAt when the accelerators were given
	 * @param changedAt when the lease last changed
	 * @param startedAt when all members were told to start
	 * @param checkpointAt when the members were told to save their progress
	 * @param members the members in the order of the slots
	 */
	public record Lease(FencingToken token, GangPlacement placement, String phase, Instant placedAt, Instant changedAt,
			Optional<Instant> startedAt, Optional<Instant> checkpointAt, List<Member> members) {

	}

	/**
	 * A member of a gang.
	 *
	 * @param phase the state of the member chart
	 * @param saved whether it saved its progress
	 * @param detached whether its worker was lost, so that it holds nothing there
	 */
	public record Member(String phase, boolean saved, boolean detached) {

	}

}
