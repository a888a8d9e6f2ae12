package io.verbenatrack.scheduling.rules;

import java.time.Duration;
import java.time.Instant;

import io.verbenatrack.scheduling.state.GangFit;
import io.verbenatrack.scheduling.state.JobRecord;

/**
 * Ranks waiting jobs: the longer a job waits beside what it still has to run, the sooner
 * it is served.
 *
 * <p>
 * This is highest response ratio next (Brinch Hansen, 1971), with more weight for gangs
 * that need a whole worker or more, since small jobs find room far more often.
 */
public final class Aging {

	private static final double LARGE_GANG_WEIGHT = 4;

	private Aging() {
	}

	/**
	 * The rank of a waiting job.
	 * @param job the job
	 * @param estimateMs the run time left, in milliseconds
	 * @param now the time
	 * @return the rank; higher is served first
	 */
	public static double rank(JobRecord job, long estimateMs, Instant now) {
		long waitedMs = Duration.between(job.submittedAt(), now).toMillis();
		double ratio = (waitedMs + estimateMs) / (double) estimateMs;
		return isLarge(job) ? ratio * LARGE_GANG_WEIGHT : ratio;
	}

	/**
	 * Whether a gang needs at least a whole worker of 8 accelerators.
	 * @param job the job
	 * @return whether small jobs can keep it from starting
	 */
	public static boolean isLarge(JobRecord job) {
		return job.spec().shape().accelerators() >= GangFit.MAXIMUM_ON_ONE_WORKER;
	}

}
