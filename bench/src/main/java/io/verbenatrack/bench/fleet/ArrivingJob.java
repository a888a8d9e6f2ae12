package io.verbenatrack.bench.fleet;

import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.JobId;

/**
 * A job that a bench submits.
 *
 * @param job its name
 * @param jobClass its class
 * @param account its client account
 * @param plan what it runs
 * @param atMillis when it arrives
 * @param workMillis the true run time of each task, by index
 * @param credit what it earns in time
 */
record ArrivingJob(JobId job, JobClass jobClass, AccountId account, JobPlan plan, long atMillis, long[] workMillis,
		double credit) {

	long longestMillis() {
		long longest = 0;
		for (long work : this.workMillis) {
			longest = Math.max(longest, work);
		}
		return longest;
	}

	long objectiveMillis() {
		return (long) (this.jobClass.stretch() * longestMillis()) + this.jobClass.latencyMillis();
	}

}
