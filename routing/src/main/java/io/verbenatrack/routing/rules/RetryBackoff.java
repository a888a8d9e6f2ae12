package io.verbenatrack.routing.rules;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter between retries.
 * <p>
 * See Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015.
 */
public final class RetryBackoff {

	private static final int MAXIMUM_DOUBLINGS = 20;

	private RetryBackoff() {
	}

	/**
	 * Draws the delay before a retry.
	 * @param attempts the number of attempts made, at least 1
	 * @param base the mean of the first delay
	 * @param maximum the longest delay
	 * @param random the random number generator
	 * @return the delay in nanoseconds
	 */
	public static long delayNanos(int attempts, Duration base, Duration maximum, RandomGenerator random) {
		int doublings = Math.min(attempts, MAXIMUM_DOUBLINGS);
		long ceiling = Math.min(maximum.toNanos(), base.toNanos() << doublings);
		return random.nextLong(ceiling + 1);
	}

}
