package io.verbenatrack.routing;

import java.time.Duration;

/**
 * The limits of request routing.
 *
 * @param maximumOpen how many sends are open at once on this instance
 * @param maximumQueueWait the longest expected wait in a queue
 * @param maximumAttempts how often one send is dispatched
 * @param retryShare retries and hedges over first attempts, from 0 to 1
 * @param backoffBase the mean of the first backoff
 * @param backoffMaximum the longest backoff
 * @param setAsideShare the largest share of targets set aside, from 0 to 1
 * @param setAsideBase how long a target is first set aside
 * @param lateAnswerWait how long an answer is awaited past the deadline of a request that
 * is not idempotent, to keep it for a resend
 */
public record RoutingSettings(int maximumOpen, Duration maximumQueueWait, int maximumAttempts, double retryShare,
		Duration backoffBase, Duration backoffMaximum, double setAsideShare, Duration setAsideBase,
		Duration lateAnswerWait) {

	/** The settings of an instance whose operators give none. */
	public static final RoutingSettings STANDARD = new RoutingSettings(20_000, Duration.ofMillis(500), 3, 0.1,
			Duration.ofMillis(20), Duration.ofSeconds(1), 0.4, Duration.ofSeconds(5), Duration.ofSeconds(10));

}
