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
 * The complete state of a job, from which another scheduler can restore it.
 *
 * @param job the specification that the caller submitted
 * @param phase the state of the job chart
 * @param reason why the job is in this state
 * @param submittedAt when it was accepted
 * @param waitingSince when the job last entered the waiting state
 * @param sequence the position in the order of acceptance, from 1
 * @param kept the run time covered by checkpoints
 * @param keptBefore the run time covered by checkpoints when the current placement was
 * made
 * @param progress the completed run time, as last reported
 * @param reclaims how often the job was told to checkpoint and release its accelerators
 * @param cancelledAt when the caller cancelled it
 * @param failures the failures of members, in order
 * @param lease the lease on accelerators, while the job holds any
 * @param outcome the outcome, once the job has ended
 */
public record JobSnapshot(JobSpec job, String phase, String reason, Instant submittedAt, Instant waitingSince,
		long sequence, Duration kept, Duration keptBefore, Duration progress, int reclaims,
		Optional<Instant> cancelledAt, List<Failure> failures, Optional<Lease> lease, Optional<JobOutcome> outcome) {

	/**
	 * A member of the job failed.
	 *
	 * @param worker the worker of the failed member
	 * @param successesBefore the number of members that had finished on that worker
	 * before
	 */
	public record Failure(WorkerId worker, int successesBefore) {

	}

	/**
	 * The lease of a gang on its accelerators.
	 *
	 * @param token the fencing token
	 * @param placement the accelerators
	 * @param phase the state of the lease chart
	 * @param placedAt when the accelerators were assigned
	 * @param changedAt when the lease last changed
	 * @param startedAt when all members were told to start
	 * @param checkpointAt when the members were told to checkpoint
	 * @param members the members in the order of the slots
	 */
	public record Lease(FencingToken token, GangPlacement placement, String phase, Instant placedAt, Instant changedAt,
			Optional<Instant> startedAt, Optional<Instant> checkpointAt, List<Member> members) {

	}

	/**
	 * A member of a gang.
	 *
	 * @param phase the state of the member chart
	 * @param saved whether the member saved a checkpoint
	 * @param detached whether its worker was lost, so that the member holds no
	 * accelerators
	 */
	public record Member(String phase, boolean saved, boolean detached) {

	}

}
