package io.verbenatrack.routing.rules;

import java.time.Duration;

/**
 * Decides which targets are set aside, and for how long.
 * <p>
 * When more targets look bad than may be set aside, the fault is most likely on the side
 * of this instance, and none is.
 */
public final class OutlierDetection {

	/** So many failures in a row make a target an outlier. */
	public static final int CONSECUTIVE_FAILURES = 5;

	/** So much slower than the median of the targets makes one an outlier. */
	public static final double SLOWNESS_FACTOR = 4;

	/** So many answers are needed before a target counts as slow. */
	public static final int MINIMUM_SAMPLES = 10;

	private static final double FAILURE_SHARE = 0.5;

	private static final int MAXIMUM_DOUBLINGS = 4;

	private OutlierDetection() {
	}

	/**
	 * Whether a target looks bad.
	 * @param record what it did lately
	 * @param medianNanos the median of the mean service times of all targets, in
	 * nanoseconds
	 * @return whether it fails or is slow
	 */
	public static boolean looksBad(TargetRecord record, long medianNanos) {
		if (record.consecutiveFailures() >= CONSECUTIVE_FAILURES) {
			return true;
		}
		boolean failsOften = record.samples() >= MINIMUM_SAMPLES && record.failureShare() > FAILURE_SHARE;
		boolean slow = record.samples() >= MINIMUM_SAMPLES && medianNanos > 0
				&& record.meanNanos() > SLOWNESS_FACTOR * medianNanos;
		boolean hangs = medianNanos > 0 && record.oldestWaitNanos() > SLOWNESS_FACTOR * SLOWNESS_FACTOR * medianNanos;
		return failsOften || slow || hangs;
	}

	/**
	 * Whether one more may be set aside.
	 * @param bad how many look bad, those set aside included
	 * @param targets how many there are
	 * @param maximumShare the largest share set aside, from 0 to 1
	 * @return whether the cap holds
	 */
	public static boolean withinCap(int bad, int targets, double maximumShare) {
		return bad <= Math.floor(targets * maximumShare);
	}

	/**
	 * How long a target is set aside.
	 * @param times how often it was before
	 * @param base the first duration
	 * @return the duration in nanoseconds
	 */
	public static long durationNanos(int times, Duration base) {
		return base.toNanos() << Math.min(times, MAXIMUM_DOUBLINGS);
	}

	/**
	 * What a target did lately.
	 *
	 * @param samples how many dispatches ended
	 * @param consecutiveFailures how many failed since the last answer
	 * @param failureShare the recent share of failures, from 0 to 1
	 * @param meanNanos the mean service time in nanoseconds
	 * @param oldestWaitNanos how long the oldest dispatch waits for a reply, in
	 * nanoseconds
	 */
	public record TargetRecord(int samples, int consecutiveFailures, double failureShare, long meanNanos,
			long oldestWaitNanos) {

	}

}
