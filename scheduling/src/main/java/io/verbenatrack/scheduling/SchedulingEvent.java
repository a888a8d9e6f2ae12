package io.verbenatrack.scheduling;

import java.time.Duration;

import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.FencingToken;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.WorkerSpec;

/**
 * An input to the scheduler that may require decisions.
 */
public sealed interface SchedulingEvent {

	/**
	 * A caller submitted a job. A repeated submission has the same id and has no effect.
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
	 * The lease of a worker expired, so nothing runs there any more.
	 *
	 * @param worker the worker
	 */
	record WorkerLost(WorkerId worker) implements SchedulingEvent {

	}

	/**
	 * A worker is draining and takes no new work.
	 *
	 * @param worker the worker
	 */
	record WorkerDraining(WorkerId worker) implements SchedulingEvent {

	}

	/**
	 * A worker reported on a member of a gang.
	 *
	 * @param job the job
	 * @param token the fencing token of the lease that the member runs under
	 * @param worker the worker
	 * @param report the report
	 */
	record MemberReported(JobId job, FencingToken token, WorkerId worker,
			MemberReport report) implements SchedulingEvent {

	}

	/**
	 * A worker reported the progress of a job. Reports can lag behind the actual
	 * progress.
	 *
	 * @param job the job
	 * @param progress the completed run time
	 * @param checkpointed the run time covered by the last checkpoint
	 * @param memoryGib the memory in use by the whole gang, in GiB
	 */
	record UsageReported(JobId job, Duration progress, Duration checkpointed,
			int memoryGib) implements SchedulingEvent {

	}

	/**
	 * A configuration came into force.
	 *
	 * @param declarations the complete configuration
	 */
	record DeclarationsInForce(Declarations declarations) implements SchedulingEvent {

	}

	/**
	 * Time passed, so deadlines may have expired.
	 */
	record TimePassed() implements SchedulingEvent {

	}

}
