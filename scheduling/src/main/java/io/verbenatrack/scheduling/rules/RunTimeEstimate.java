package io.verbenatrack.scheduling.rules;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import io.verbenatrack.scheduling.state.GangLease;
import io.verbenatrack.scheduling.state.JobRecord;
import io.verbenatrack.scheduling.state.RunTimeSamples;

/**
 * Estimates run times from quantiles of the run times of earlier jobs of the same account
 * and class.
 */
public final class RunTimeEstimate {

	/** The quantile used to rank jobs. */
	public static final double MEDIAN = 0.5;

	/** The quantile used where an underestimate would delay another job. */
	public static final double CAUTIOUS = 0.9;

	/** With fewer samples the declared run time is used. */
	static final int MINIMUM_SAMPLES = 5;

	/**
	 * A job that exceeds its estimate is expected to continue for this fraction of its
	 * run time so far.
	 */
	private static final double OVERRUN_FRACTION = 0.25;

	private static final long MINIMUM_ESTIMATE_MS = 1_000;

	private RunTimeEstimate() {
	}

	/**
	 * Estimates the total run time of a job.
	 * @param samples the run time samples
	 * @param job the job
	 * @param quantile the fraction of similar jobs that take no longer, from 0 to 1
	 * @return the run time
	 */
	public static Duration total(RunTimeSamples samples, JobRecord job, double quantile) {
		List<Double> sorted = samples.sorted(job.spec().account(), job.spec().jobClass());
		double ratio = (sorted.size() >= MINIMUM_SAMPLES) ? quantile(sorted, quantile) : 1;
		double millis = job.spec().declaredRunTime().toMillis() * ratio;
		return Duration.ofMillis(Math.max(MINIMUM_ESTIMATE_MS, (long) millis));
	}

	private static double quantile(List<Double> sorted, double quantile) {
		int rank = (int) Math.ceil(quantile * sorted.size()) - 1;
		return sorted.get(Math.max(0, rank));
	}

	/**
	 * Estimates the remaining run time of a job.
	 * @param samples the run time samples
	 * @param job the job
	 * @param quantile the fraction of similar jobs that take no longer, from 0 to 1
	 * @param now the time
	 * @return the remaining run time, at least 1 s
	 */
	public static Duration remaining(RunTimeSamples samples, JobRecord job, double quantile, Instant now) {
		Optional<Instant> startedAt = job.lease().flatMap(GangLease::startedAt);
		Duration done = startedAt.map((start) -> job.checkpointedBefore().plus(Duration.between(start, now)))
			.orElse(job.checkpointed());
		Duration left = total(samples, job, quantile).minus(done);
		long overrun = (long) (done.toMillis() * OVERRUN_FRACTION);
		return Duration.ofMillis(Math.max(Math.max(MINIMUM_ESTIMATE_MS, overrun), left.toMillis()));
	}

}
