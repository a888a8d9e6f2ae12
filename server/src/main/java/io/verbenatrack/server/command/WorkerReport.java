package io.verbenatrack.server.command;

import java.time.Duration;

import io.verbenatrack.model.FencingToken;
import io.verbenatrack.model.JobId;
import io.verbenatrack.scheduling.MemberReport;

/**
 * One report of a worker.
 */
public sealed interface WorkerReport {

	/**
	 * The job reported on.
	 * @return the job
	 */
	JobId job();

	/**
	 * The lease reported on.
	 * @return the token
	 */
	FencingToken token();

	/**
	 * A member of a gang changed.
	 *
	 * @param job the job
	 * @param token the lease of the member
	 * @param report the change
	 */
	record MemberChange(JobId job, FencingToken token, MemberReport report) implements WorkerReport {

	}

	/**
	 * How far a member is.
	 *
	 * @param job the job
	 * @param token the lease of the member
	 * @param progress run time completed
	 * @param checkpointed run time saved
	 * @param memoryGib memory in use, in GiB
	 */
	record Usage(JobId job, FencingToken token, Duration progress, Duration checkpointed,
			int memoryGib) implements WorkerReport {

	}

}
