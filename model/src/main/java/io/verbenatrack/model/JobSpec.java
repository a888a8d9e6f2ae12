package io.verbenatrack.model;

import java.time.Duration;

/**
 * The specification of a job, as submitted by the caller.
 *
 * @param id the identifier of the job, chosen by the caller; a retry carries the same id
 * @param account the client account that is charged for the job
 * @param jobClass a class of similar jobs, chosen by the caller and used to estimate run
 * times
 * @param shape the gang it needs
 * @param declaredRunTime the caller's estimate of the run time, which is often inaccurate
 * @param urgency how soon it has to start
 * @param checkpointable whether the job can save a checkpoint and resume on other workers
 */
public record JobSpec(JobId id, AccountId account, String jobClass, GangShape shape, Duration declaredRunTime,
		Urgency urgency, boolean checkpointable) {

	public JobSpec {
		Identifiers.requireValid("job class", jobClass);
		if (declaredRunTime.isNegative() || declaredRunTime.isZero()) {
			throw new IllegalArgumentException(
					"Job " + id + " declares no run time. Give a positive duration such as 30m.");
		}
	}

}
