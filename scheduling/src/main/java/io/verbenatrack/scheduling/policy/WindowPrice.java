package io.verbenatrack.scheduling.policy;

import io.verbenatrack.scheduling.state.JobRecord;

/**
 * Prices the jobs that are in the way of a gang.
 */
@FunctionalInterface
interface WindowPrice {

	/**
	 * What it costs that a job leaves; adds up over all that leave.
	 * @param job the job in the way
	 * @return the price, infinite when it may not be told to leave
	 */
	double leave(JobRecord job);

	/**
	 * What it costs to wait for the job's own end; only the longest counts.
	 * @param job the job in the way
	 * @return the price, 0 when nothing is waited for
	 */
	default double await(JobRecord job) {
		return 0;
	}

}
