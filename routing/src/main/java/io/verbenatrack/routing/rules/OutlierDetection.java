package io.verbenatrack.routing.rules;

import java.time.Duration;

/**
 * Decides which targets are ejected as outliers, and for how long.
 * <p>
 * When there are more outliers than may be ejected, the fault is most likely on this
 * instance or its network, and no target is ejected.
 */
public final class OutlierDetection {

	/** The number of consecutive failures that makes a target an outlier. */
	public static final int CONSECUTIVE_FAILURES = 5;

	/** The ratio of service time to the median of all targets that makes an outlier. */
	public static final double SLOWNESS_FACTOR = 4;

	/**
	 * The number of answered or failed dispatches that make failure share and mean valid.
	 */
	public static final int MINIMUM_SAMPLES = 10;

	private static final double FAILURE_SHARE = 0.5;

	private static final int MAXIMUM_DOUBLINGS = 4;

	private OutlierDetection() {
	}

	/**
	 * Returns whether a target is an outlier.
	 * @param statistics the recent results of the target
	 * @param medianNanos the median of the mean service times of all targets, in
	 * nanoseconds
	 * @return whether the target fails, is slow or does not reply
	 */
	public static boolean isOutlier(TargetStatistics statistics, long medianNanos) {
		if (statistics.consecutiveFailures() >= CONSECUTIVE_FAILURES) {
			return true;
		}
		boolean failsOften = statistics.samples() >= MINIMUM_SAMPLES && statistics.failureShare() > FAILURE_SHARE;
		boolean slow = statistics.samples() >= MINIMUM_SAMPLES && medianNanos > 0
				&& statistics.meanNanos() > SLOWNESS_FACTOR * medianNanos;
		boolean hangs = medianNanos > 0
				&& statistics.oldestWaitNanos() > SLOWNESS_FACTOR * SLOWNESS_FACTOR * medianNanos;
		return failsOften || slow || hangs;
	}

	/**
	 * Returns whether a number of outliers may be ejected.
	 * @param outliers the number of outliers, including targets already ejected
	 * @param targets the number of targets
	 * @param maximumShare the largest share of targets ejected at once, from 0 to 1
	 * @return whether the outliers are within that share
	 */
	public static boolean mayEject(int outliers, int targets, double maximumShare) {
		return outliers <= Math.floor(targets * maximumShare);
	}

	/**
	 * Returns how long a target is ejected. The duration doubles with each ejection, up
	 * to 16 times the first.
	 * @param ejectionCount the number of earlier ejections of the target
	 * @param base the duration of the first ejection
	 * @return the duration in nanoseconds
	 */
	public static long ejectionNanos(int ejectionCount, Duration base) {
		return base.toNanos() << Math.min(ejectionCount, MAXIMUM_DOUBLINGS);
	}

	/**
	 * The recent results of a target.
	 *
	 * @param samples the number of answered or failed dispatches
	 * @param consecutiveFailures the number of failures since the last answer
	 * @param failureShare the recent share of failures, from 0 to 1
	 * @param meanNanos the mean service time in nanoseconds
	 * @param oldestWaitNanos the time since the start of the oldest open dispatch in
	 * nanoseconds
	 */
	public record TargetStatistics(int samples, int consecutiveFailures, double failureShare, long meanNanos,
			long oldestWaitNanos) {

	}

}
