package io.verbenatrack.scheduling;

import java.time.Duration;

import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.FencingToken;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.WorkerSpec;

/**
 * Something that happened and may call for decisions.
 */
public sealed interface SchedulingEvent {

	/**
	 * A caller submitted a job; a resend has the same id and changes nothing.
	 *
	 * @param job the job
	 */
	record JobSubmitted(JobSpec job) implements SchedulingEvent {

	}

	/**
	 * A caller cancelled a job.
	 *
	 * @param job the job
	 */
	record JobCancelled(JobId job) implements SchedulingEvent {

	}

	/**
	 * A worker announced itself, for the first time or again.
	 *
	 * @param worker the worker
	 */
	record WorkerAnnounced(WorkerSpec worker) implements SchedulingEvent {

	}

	/**
	 * The lease of a worker ran out, so nothing runs there any more.
	 *
	 * @param worker the worker
	 */
	record WorkerLost(WorkerId worker) implements SchedulingEvent {

	}

	/**
	 * A worker is leaving and takes no new work.
	 *
	 * @param worker the worker
	 */
	record WorkerDraining(WorkerId worker) implements SchedulingEvent {

	}

	/**
	 * A worker reported on one member of a gang.
	 *
	 * @param job the job
	 * @param token the lease that the member runs under
	 * @param worker the worker
	 * @param report what it reports
	 */
	record MemberReported(JobId job, FencingToken token, WorkerId worker,
			MemberReport report) implements SchedulingEvent {

	}

	/**
	 * A worker reported how much of a job is done, with a lag.
	 *
	 * @param job the job
	 * @param progress run time completed so far
	 * @param checkpointed run time that the last checkpoint covers
	 * @param memoryGib memory in use, over the whole gang
	 */
	record UsageReported(JobId job, Duration progress, Duration checkpointed,
			int memoryGib) implements SchedulingEvent {

	}

	/**
	 * A configuration is in force.
	 *
	 * @param declarations all of it
	 */
	record DeclarationsInForce(Declarations declarations) implements SchedulingEvent {

	}

	/**
	 * Time passed; deadlines may have run out.
	 */
	record TimePassed() implements SchedulingEvent {

	}

}
