package io.verbenatrack.routing.rules;

/**
 * Refuses on arrival what would wait too long, and drops what can no longer finish.
 */
public final class EarlyRefusal {

	private EarlyRefusal() {
	}

	/**
	 * Estimates the wait of a new entry of a client account (Little's law).
	 * @param queued how many entries of the account wait
	 * @param share the share of the account in the slots, above 0 and up to 1
	 * @param slots how many requests run at once
	 * @param meanServiceNanos the mean service time in nanoseconds
	 * @return the expected wait in nanoseconds
	 */
	public static long expectedWaitNanos(int queued, double share, int slots, long meanServiceNanos) {
		double ratePerNano = share * Math.max(1, slots) / Math.max(1, meanServiceNanos);
		return (long) (queued / ratePerNano);
	}

	/**
	 * Whether to refuse a new entry.
	 * @param expectedWaitNanos its expected wait in nanoseconds
	 * @param maximumWaitNanos the longest wait allowed in nanoseconds
	 * @param remainingNanos the time left to its deadline in nanoseconds
	 * @param meanServiceNanos the mean service time in nanoseconds
	 * @return whether it would most likely come too late
	 */
	public static boolean refuses(long expectedWaitNanos, long maximumWaitNanos, long remainingNanos,
			long meanServiceNanos) {
		long spare = remainingNanos - meanServiceNanos;
		return expectedWaitNanos > maximumWaitNanos || (expectedWaitNanos > 0 && expectedWaitNanos > spare / 2);
	}

	/**
	 * Whether a queued entry is given up.
	 * @param remainingNanos the time left to its deadline in nanoseconds
	 * @param meanServiceNanos the mean service time in nanoseconds
	 * @return whether it could hardly finish in time
	 */
	public static boolean givesUp(long remainingNanos, long meanServiceNanos) {
		return remainingNanos <= 0 || remainingNanos < meanServiceNanos / 2;
	}

}
