package io.verbenatrack.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.FencingToken;
import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.Guarantee;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobOutcome;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.WorkerSpec;

/**
 * A scheduling decision made by the leader. Replicas apply decisions and never make their
 * own.
 */
public sealed interface SchedulingDecision {

	/**
	 * Accepts a job, which then waits for accelerators.
	 *
	 * @param job the job
	 * @param at when it was accepted
	 */
	record AcceptJob(JobSpec job, Instant at) implements SchedulingDecision {

	}

	/**
	 * Records why a job waits.
	 *
	 * @param job the job
	 * @param reason the reason shown in views, one sentence
	 */
	record ExplainWait(JobId job, String reason) implements SchedulingDecision {

	}

	/**
	 * Assigns accelerators to a gang; each member is to be prepared under the lease.
	 *
	 * @param job the job
	 * @param token the fencing token of the new lease
	 * @param placement the accelerators
	 * @param at when the decision was made
	 */
	record PlaceGang(JobId job, FencingToken token, GangPlacement placement, Instant at) implements SchedulingDecision {

	}

	/**
	 * Starts a gang of which every member is prepared.
	 *
	 * @param job the job
	 * @param token the fencing token of the lease
	 * @param at when the decision was made
	 */
	record StartGang(JobId job, FencingToken token, Instant at) implements SchedulingDecision {

	}

	/**
	 * Records the report of a worker about a member.
	 *
	 * @param job the job
	 * @param token the fencing token of the lease
	 * @param worker the worker
	 * @param report the report
	 */
	record RecordMember(JobId job, FencingToken token, WorkerId worker,
			MemberReport report) implements SchedulingDecision {

	}

	/**
	 * Tells every member to save a checkpoint. The gang is stopped once all have done so
	 * or the grace period has passed.
	 *
	 * @param job the job
	 * @param token the fencing token of the lease
	 * @param grace the time allowed for the checkpoint
	 * @param reason the reason shown in views
	 * @param at when the decision was made
	 */
	record CheckpointGang(JobId job, FencingToken token, Duration grace, String reason,
			Instant at) implements SchedulingDecision {

	}

	/**
	 * Stops every member immediately.
	 *
	 * @param job the job
	 * @param token the fencing token of the lease
	 * @param reason the reason shown in views
	 * @param at when the decision was made
	 */
	record StopGang(JobId job, FencingToken token, String reason, Instant at) implements SchedulingDecision {

	}

	/**
	 * Releases the accelerators of a gang and returns its job to the queue.
	 *
	 * @param job the job
	 * @param keptProgress the run time covered by checkpoints, which need not be repeated
	 * @param at when the decision was made
	 */
	record RequeueJob(JobId job, Duration keptProgress, Instant at) implements SchedulingDecision {

	}

	/**
	 * Ends a job with an outcome.
	 *
	 * @param job the job
	 * @param outcome the outcome
	 */
	record EndJob(JobId job, JobOutcome outcome) implements SchedulingDecision {

	}

	/**
	 * Records the progress of a job.
	 *
	 * @param job the job
	 * @param progress the completed run time
	 * @param checkpointed the run time covered by the last checkpoint
	 */
	record RecordUsage(JobId job, Duration progress, Duration checkpointed) implements SchedulingDecision {

	}

	/**
	 * Adds a worker to the fleet, or readmits one that was lost.
	 *
	 * @param worker the worker
	 */
	record AdmitWorker(WorkerSpec worker) implements SchedulingDecision {

	}

	/**
	 * Marks a worker as lost.
	 *
	 * @param worker the worker
	 */
	record RemoveWorker(WorkerId worker) implements SchedulingDecision {

	}

	/**
	 * Drains a worker: it gets no new work and finishes what it runs.
	 *
	 * @param worker the worker
	 */
	record DrainWorker(WorkerId worker) implements SchedulingDecision {

	}

	/**
	 * Quarantines a worker after too many failures; it gets no work until the quarantine
	 * ends.
	 *
	 * @param worker the worker
	 * @param until when the quarantine ends
	 */
	record QuarantineWorker(WorkerId worker, Instant until) implements SchedulingDecision {

	}

	/**
	 * Ends the quarantine of a worker, which is then on probation.
	 *
	 * @param worker the worker
	 */
	record ReleaseWorker(WorkerId worker) implements SchedulingDecision {

	}

	/**
	 * Reports the guarantees of an account that the fleet cannot provide. An empty list
	 * ends the shortage.
	 *
	 * @param account the account
	 * @param missing the guaranteed gangs for which there is no region
	 */
	record ReportShortGuarantee(AccountId account, List<Guarantee> missing) implements SchedulingDecision {

	}

	/**
	 * Records that the caller cancelled a job. The job ends once its members have
	 * stopped.
	 *
	 * @param job the job
	 * @param at when it was cancelled
	 */
	record CancelJob(JobId job, Instant at) implements SchedulingDecision {

	}

	/**
	 * Raises the floor of the fencing tokens: later placements get higher tokens than
	 * this one.
	 *
	 * @param floor the highest token that may have been issued before
	 */
	record RaiseTokenFloor(FencingToken floor) implements SchedulingDecision {

	}

	/**
	 * Assigns a region of accelerators to one guaranteed gang of an account. Work of
	 * other accounts in the region is borrowing; the account's own work there is within
	 * its guarantee.
	 *
	 * @param account the account
	 * @param guarantee the index in the account's guarantees, from 0
	 * @param gang which gang of that guarantee, from 0
	 * @param region the accelerators, empty to remove the region of this gang
	 */
	record BindGuarantee(AccountId account, int guarantee, int gang,
			GangPlacement region) implements SchedulingDecision {

	}

	/**
	 * Restores a job from a snapshot, as part of a replay.
	 *
	 * @param job the snapshot
	 */
	record RestoreJob(JobSnapshot job) implements SchedulingDecision {

	}

	/**
	 * Restores a worker, as part of a replay and before the jobs.
	 *
	 * @param worker the specification that the worker announced
	 * @param phase the state of the worker chart
	 * @param failuresInARow the number of failed members since the last one that finished
	 * @param successes the number of members that ever finished on the worker
	 * @param quarantinedUntil when its quarantine ends
	 */
	record RestoreWorker(WorkerSpec worker, String phase, int failuresInARow, int successes,
			Instant quarantinedUntil) implements SchedulingDecision {

	}

	/**
	 * Restores the run time samples of a job class, as part of a replay.
	 *
	 * @param account the account
	 * @param jobClass the class
	 * @param ratios the ratios of actual to declared run time, oldest first
	 */
	record RestoreRunTimes(AccountId account, String jobClass, List<Double> ratios) implements SchedulingDecision {

	}

	/**
	 * Removes ended jobs from the state.
	 *
	 * @param jobs the jobs
	 */
	record ForgetJobs(List<JobId> jobs) implements SchedulingDecision {

	}

	/**
	 * Replaces the configuration.
	 *
	 * @param declarations the complete configuration
	 */
	record AdoptDeclarations(Declarations declarations) implements SchedulingDecision {

	}

}
