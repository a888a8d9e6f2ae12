package io.verbenatrack.scheduling.rules;

import java.time.Duration;
import java.time.Instant;

import io.verbenatrack.scheduling.state.GangFit;
import io.verbenatrack.scheduling.state.JobRecord;

/**
 * Ranks waiting jobs by response ratio: the longer a job waits relative to its remaining
 * run time, the higher its rank.
 *
 * <p>
 * This is highest response ratio next (Brinch Hansen, 1971), with a higher weight for
 * gangs that need at least a whole worker, because small jobs find free accelerators far
 * more often.
 */
public final class Aging {

	private static final double LARGE_GANG_WEIGHT = 4;

	private Aging() {
	}

	/**
	 * Returns the rank of a waiting job.
	 * @param job the job
	 * @param estimateMs the estimated remaining run time, in milliseconds
	 * @param now the time
	 * @return the rank; the highest is placed first
	 */
	public static double rank(JobRecord job, long estimateMs, Instant now) {
		long waitedMs = Duration.between(job.submittedAt(), now).toMillis();
		double ratio = (waitedMs + estimateMs) / (double) estimateMs;
		return isLarge(job) ? ratio * LARGE_GANG_WEIGHT : ratio;
	}

	/**
	 * Returns whether a gang needs at least a whole worker of 8 accelerators.
	 * @param job the job
	 * @return whether it does, so that small jobs can starve it
	 */
	public static boolean isLarge(JobRecord job) {
		return job.spec().shape().accelerators() >= GangFit.MAXIMUM_ON_ONE_WORKER;
	}

}
