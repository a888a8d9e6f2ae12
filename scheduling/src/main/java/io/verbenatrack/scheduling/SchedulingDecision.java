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
 * A decision of the leader; replicas apply it and never decide again.
 */
public sealed interface SchedulingDecision {

	/**
	 * The job is accepted and waits for its gang.
	 *
	 * @param job the job
	 * @param at when it was accepted
	 */
	record AcceptJob(JobSpec job, Instant at) implements SchedulingDecision {

	}

	/**
	 * The job waits, and why.
	 *
	 * @param job the job
	 * @param reason one sentence for the views
	 */
	record ExplainWait(JobId job, String reason) implements SchedulingDecision {

	}

	/**
	 * The gang gets accelerators; each member is to be prepared under the lease.
	 *
	 * @param job the job
	 * @param token the lease of this placement
	 * @param placement the accelerators
	 * @param at when it was decided
	 */
	record PlaceGang(JobId job, FencingToken token, GangPlacement placement, Instant at) implements SchedulingDecision {

	}

	/**
	 * Every member is prepared and all are to start.
	 *
	 * @param job the job
	 * @param token the lease
	 * @param at when it was decided
	 */
	record StartGang(JobId job, FencingToken token, Instant at) implements SchedulingDecision {

	}

	/**
	 * A worker answered for a member.
	 *
	 * @param job the job
	 * @param token the lease
	 * @param worker the worker
	 * @param report what it reported
	 */
	record RecordMember(JobId job, FencingToken token, WorkerId worker,
			MemberReport report) implements SchedulingDecision {

	}

	/**
	 * Every member is to save its progress, and is stopped after that or after the grace.
	 *
	 * @param job the job
	 * @param token the lease
	 * @param grace how long saving may take
	 * @param reason why, for the views
	 * @param at when it was decided
	 */
	record CheckpointGang(JobId job, FencingToken token, Duration grace, String reason,
			Instant at) implements SchedulingDecision {

	}

	/**
	 * Every member is to stop at once.
	 *
	 * @param job the job
	 * @param token the lease
	 * @param reason why, for the views
	 * @param at when it was decided
	 */
	record StopGang(JobId job, FencingToken token, String reason, Instant at) implements SchedulingDecision {

	}

	/**
	 * The gang holds nothing any more and the job waits again.
	 *
	 * @param job the job
	 * @param keptProgress run time that need not be repeated
	 * @param at when it was decided
	 */
	record RequeueJob(JobId job, Duration keptProgress, Instant at) implements SchedulingDecision {

	}

	/**
	 * The job has its outcome.
	 *
	 * @param job the job
	 * @param outcome the outcome
	 */
	record EndJob(JobId job, JobOutcome outcome) implements SchedulingDecision {

	}

	/**
	 * Progress of a job became known.
	 *
	 * @param job the job
	 * @param progress run time completed
	 * @param checkpointed run time saved
	 */
	record RecordUsage(JobId job, Duration progress, Duration checkpointed) implements SchedulingDecision {

	}

	/**
	 * The worker takes part.
	 *
	 * @param worker the worker
	 */
	record AdmitWorker(WorkerSpec worker) implements SchedulingDecision {

	}

	/**
	 * The worker is gone.
	 *
	 * @param worker the worker
	 */
	record RemoveWorker(WorkerId worker) implements SchedulingDecision {

	}

	/**
	 * The worker takes no new work and finishes what it runs.
	 *
	 * @param worker the worker
	 */
	record DrainWorker(WorkerId worker) implements SchedulingDecision {

	}

	/**
	 * The worker failed too much and gets no work for a while.
	 *
	 * @param worker the worker
	 * @param until when it is tried again
	 */
	record QuarantineWorker(WorkerId worker, Instant until) implements SchedulingDecision {

	}

	/**
	 * The worker is trusted again.
	 *
	 * @param worker the worker
	 */
	record ReleaseWorker(WorkerId worker) implements SchedulingDecision {

	}

	/**
	 * The fleet no longer covers these guarantees of an account; an empty list ends the
	 * shortage.
	 *
	 * @param account the account
	 * @param missing the gangs that cannot be packed
	 */
	record ReportShortGuarantee(AccountId account, List<Guarantee> missing) implements SchedulingDecision {

	}

	/**
	 * The caller's cancellation is recorded; the job ends once its members have stopped.
	 *
	 * @param job the job
	 * @param at when it was cancelled
	 */
	record CancelJob(JobId job, Instant at) implements SchedulingDecision {

	}

	/**
	 * Later placements get higher tokens than this one.
	 *
	 * @param floor the highest token that may have been given before
	 */
	record RaiseTokenFloor(FencingToken floor) implements SchedulingDecision {

	}

	/**
	 * One guaranteed gang of an account is held on these accelerators: work of other
	 * accounts there borrows, and the account's own work there is within its guarantee.
	 *
	 * @param account the account
	 * @param guarantee the index in the account's guarantees, from 0
	 * @param gang which gang of that guarantee, from 0
	 * @param region the accelerators, empty when the fleet has none for it now
	 */
	record BindGuarantee(AccountId account, int guarantee, int gang,
			GangPlacement region) implements SchedulingDecision {

	}

	/**
	 * The job is as the snapshot says; part of a replay.
	 *
	 * @param job the snapshot
	 */
	record RestoreJob(JobSnapshot job) implements SchedulingDecision {

	}

	/**
	 * The worker is as told; part of a replay, before the jobs.
	 *
	 * @param worker what it announced
	 * @param phase the state of the worker chart
	 * @param failuresInARow failed members since the last one that finished
	 * @param successes members that ever finished there
	 * @param quarantinedUntil when its quarantine ends
	 */
	record RestoreWorker(WorkerSpec worker, String phase, int failuresInARow, int successes,
			Instant quarantinedUntil) implements SchedulingDecision {

	}

	/**
	 * The run times of a class of jobs are as told; part of a replay.
	 *
	 * @param account the account
	 * @param jobClass the class
	 * @param ratios true over declared run times, oldest first
	 */
	record RestoreRunTimes(AccountId account, String jobClass, List<Double> ratios) implements SchedulingDecision {

	}

	/**
	 * These ended jobs are remembered no longer.
	 *
	 * @param jobs the jobs
	 */
	record ForgetJobs(List<JobId> jobs) implements SchedulingDecision {

	}

	/**
	 * A configuration applies from here on.
	 *
	 * @param declarations all of it
	 */
	record AdoptDeclarations(Declarations declarations) implements SchedulingDecision {

	}

}
