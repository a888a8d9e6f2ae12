package io.verbenatrack.bench.fleet;

import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.JobId;

/**
 * Job that the bench submits.
 *
 * @param job the job id
 * @param jobClass the job class
 * @param account the client account
 * @param plan the steps of the job
 * @param atMillis the arrival time in milliseconds
 * @param workMillis the actual run time of each task in milliseconds, by task index
 * @param credit the credit for completion within the objective
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
