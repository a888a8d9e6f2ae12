package io.verbenatrack.scheduling.policy;

import io.verbenatrack.scheduling.state.JobRecord;

/**
 * The cost of the jobs that block a placement.
 */
@FunctionalInterface
interface BlockerCost {

	/**
	 * Returns the cost of evicting a job. The costs of all blocking jobs are summed.
	 * @param job the blocking job
	 * @return the cost, infinite when the job must not be evicted
	 */
	double evictionCost(JobRecord job);

	/**
	 * Returns the cost of waiting until a job ends by itself. Only the highest cost of
	 * the blocking jobs counts, because they run at the same time.
	 * @param job the blocking job
	 * @return the cost, 0 when the job is not waited for
	 */
	default double waitCost(JobRecord job) {
		return 0;
	}

}
