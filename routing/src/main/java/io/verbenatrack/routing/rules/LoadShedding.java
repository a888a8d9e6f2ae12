package io.verbenatrack.routing.rules;

/**
 * Load shedding: refuses requests that would wait too long, and drops queued requests
 * that can no longer finish in time.
 */
public final class LoadShedding {

	private LoadShedding() {
	}

	/**
	 * Estimates the queue wait of a new request of a client account (Little's law).
	 * @param queued the number of queued requests of the account, including the new one
	 * @param share the share of the account in the slots, above 0 and up to 1
	 * @param slots the number of requests that run at once
	 * @param meanServiceNanos the mean service time in nanoseconds
	 * @return the expected wait in nanoseconds
	 */
	public static long expectedWaitNanos(int queued, double share, int slots, long meanServiceNanos) {
		double ratePerNano = share * Math.max(1, slots) / Math.max(1, meanServiceNanos);
		return (long) (queued / ratePerNano);
	}

	/**
	 * Returns whether to refuse a new request.
	 * @param expectedWaitNanos its expected queue wait in nanoseconds
	 * @param maximumWaitNanos the longest wait allowed in nanoseconds
	 * @param remainingNanos the time left to its deadline in nanoseconds
	 * @param meanServiceNanos the mean service time in nanoseconds
	 * @return whether the wait is too long in itself or likely to make the request miss
	 * its deadline
	 */
	public static boolean refusesNew(long expectedWaitNanos, long maximumWaitNanos, long remainingNanos,
			long meanServiceNanos) {
		long spare = remainingNanos - meanServiceNanos;
		return expectedWaitNanos > maximumWaitNanos || (expectedWaitNanos > 0 && expectedWaitNanos > spare / 2);
	}

	/**
	 * Returns whether to drop a queued request.
	 * @param remainingNanos the time left to its deadline in nanoseconds
	 * @param meanServiceNanos the mean service time in nanoseconds
	 * @return whether the request is unlikely to finish before its deadline
	 */
	public static boolean dropsQueued(long remainingNanos, long meanServiceNanos) {
		return remainingNanos <= 0 || remainingNanos < meanServiceNanos / 2;
	}

}
