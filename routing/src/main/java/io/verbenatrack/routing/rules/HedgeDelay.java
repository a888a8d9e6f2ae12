package io.verbenatrack.routing.rules;

import java.util.OptionalLong;

/**
 * Decides whether and when to hedge, that is to dispatch an idempotent request a second
 * time while the first dispatch runs.
 * <p>
 * Hedged requests follow Dean and Barroso, "The Tail at Scale", CACM 56(2), 2013. The
 * delay is the mean plus a multiple of the mean deviation, as in RFC 6298.
 */
public final class HedgeDelay {

	/**
	 * The share of slots in use from which hedges would take slots from first attempts.
	 */
	public static final double MAXIMUM_UTILISATION = 0.7;

	private static final int DEVIATIONS = 4;

	private static final int MINIMUM_SAMPLES = 20;

	private HedgeDelay() {
	}

	/**
	 * Computes the delay of the hedge of a request that is being dispatched.
	 * @param samples the number of measured service times
	 * @param meanNanos their mean in nanoseconds
	 * @param deviationNanos their mean deviation in nanoseconds
	 * @param remainingNanos the time left to the deadline in nanoseconds
	 * @return the delay in nanoseconds, or empty when too few service times were measured
	 * or a hedge would not finish before the deadline
	 */
	public static OptionalLong delayNanos(int samples, long meanNanos, long deviationNanos, long remainingNanos) {
		if (samples < MINIMUM_SAMPLES) {
			return OptionalLong.empty();
		}
		long delay = meanNanos + DEVIATIONS * deviationNanos;
		return (delay + meanNanos < remainingNanos) ? OptionalLong.of(delay) : OptionalLong.empty();
	}

	/**
	 * Returns whether enough slots are free for a hedge.
	 * @param used the number of slots in use
	 * @param slots the number of slots
	 * @return whether utilisation is below {@link #MAXIMUM_UTILISATION}
	 */
	public static boolean hasSpareSlots(int used, int slots) {
		return used < slots * MAXIMUM_UTILISATION;
	}

}
