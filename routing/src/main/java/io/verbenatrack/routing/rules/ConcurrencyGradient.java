package io.verbenatrack.routing.rules;

/**
 * Adapts a concurrency limit to measured service times.
 * <p>
 * Implements the gradient algorithm of Netflix, "Performance Under Load" (2018), which is
 * derived from TCP Vegas (Brakmo and Peterson, IEEE JSAC 13(8), 1995).
 */
public final class ConcurrencyGradient {

	/** The ratio of recent to long-term service time above which the limit shrinks. */
	public static final double TOLERANCE = 2;

	private static final double SMOOTHING = 0.1;

	private static final double MINIMUM_GRADIENT = 0.5;

	private ConcurrencyGradient() {
	}

	/**
	 * Computes the next limit.
	 * @param limit the current limit
	 * @param longTermNanos the long-term mean service time in nanoseconds
	 * @param recentNanos the short-term mean service time in nanoseconds
	 * @param minimum the lowest limit
	 * @param maximum the highest limit
	 * @return the next limit
	 */
	public static double next(double limit, double longTermNanos, double recentNanos, double minimum, double maximum) {
		double gradient = Math.clamp(TOLERANCE * longTermNanos / Math.max(1, recentNanos), MINIMUM_GRADIENT, 1);
		double unsmoothed = limit * gradient + Math.sqrt(limit);
		double smoothed = limit + SMOOTHING * (unsmoothed - limit);
		return Math.clamp(smoothed, Math.min(minimum, maximum), maximum);
	}

}
