package io.verbenatrack.server.command;

import java.time.Duration;

import io.verbenatrack.model.FencingToken;
import io.verbenatrack.model.JobId;
import io.verbenatrack.scheduling.MemberReport;

/**
 * A report of a worker on one gang member that it runs.
 */
public sealed interface WorkerReport {

	/**
	 * Returns the job of the member.
	 * @return the job
	 */
	JobId job();

	/**
	 * Returns the fencing token of the member's lease.
	 * @return the token
	 */
	FencingToken token();

	/**
	 * A gang member changed its state.
	 *
	 * @param job the job
	 * @param token the fencing token of the member's lease
	 * @param report the new state
	 */
	record MemberChange(JobId job, FencingToken token, MemberReport report) implements WorkerReport {

	}

	/**
	 * The progress and memory use of a member.
	 *
	 * @param job the job
	 * @param token the fencing token of the member's lease
	 * @param progress the run time completed
	 * @param checkpointed the run time covered by the last checkpoint
	 * @param memoryGib the memory in use, in GiB
	 */
	record Usage(JobId job, FencingToken token, Duration progress, Duration checkpointed,
			int memoryGib) implements WorkerReport {

	}

}
