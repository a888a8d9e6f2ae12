package io.verbenatrack.routing.rules;

import java.util.OptionalLong;

/**
 * Decides whether and when a second dispatch of an idempotent request pays.
 * <p>
 * After Dean and Barroso, "The Tail at Scale", CACM 56(2), 2013; the threshold is a mean
 * with deviations as in RFC 6298.
 */
public final class HedgeDelay {

	/**
	 * The share of slots in use from which a hedge would take room from first attempts.
	 */
	public static final double MAXIMUM_UTILISATION = 0.7;

	private static final int DEVIATIONS = 4;

	private static final int MINIMUM_SAMPLES = 20;

	private HedgeDelay() {
	}

	/**
	 * Decides on a hedge when a request is dispatched.
	 * @param samples how many service times were measured
	 * @param meanNanos their mean in nanoseconds
	 * @param deviationNanos their mean deviation in nanoseconds
	 * @param remainingNanos the time left to the deadline in nanoseconds
	 * @return how long to wait before the hedge, or empty when it would not pay
	 */
	public static OptionalLong delayNanos(int samples, long meanNanos, long deviationNanos, long remainingNanos) {
		if (samples < MINIMUM_SAMPLES) {
			return OptionalLong.empty();
		}
		long delay = meanNanos + DEVIATIONS * deviationNanos;
		return (delay + meanNanos < remainingNanos) ? OptionalLong.of(delay) : OptionalLong.empty();
	}

	/**
	 * Whether slots are idle enough to spend one on a hedge.
	 * @param used how many slots are in use
	 * @param slots how many there are
	 * @return whether a hedge takes nothing from first attempts
	 */
	public static boolean hasRoom(int used, int slots) {
		return used < slots * MAXIMUM_UTILISATION;
	}

}
