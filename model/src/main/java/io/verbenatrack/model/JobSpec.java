package io.verbenatrack.model;

import java.time.Duration;

/**
 * What a caller declares of a job.
 *
 * @param id the job, chosen by the caller; a resend carries the same id
 * @param account the client account that pays for it
 * @param jobClass a caller-chosen class of similar jobs, used to learn their run times
 * @param shape the gang it needs
 * @param declaredRunTime the caller's estimate, often far off
 * @param urgency how soon it has to start
 * @param checkpointable whether it can save its progress and continue elsewhere
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
