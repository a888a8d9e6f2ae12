package io.verbenatrack.routing;

import java.time.Duration;

/**
 * The limits of request routing.
 *
 * @param maximumOpenExchanges the largest number of open exchanges on this instance
 * @param maximumQueueWait the longest expected queue wait at which a request is admitted
 * @param maximumAttempts the largest number of dispatches of one exchange
 * @param retryShare the largest ratio of retries and hedges to first attempts, from 0 to
 * 1
 * @param backoffBase the mean of the first retry backoff
 * @param backoffMaximum the longest retry backoff
 * @param maximumEjectedShare the largest share of targets ejected at once, from 0 to 1
 * @param baseEjectionDuration how long a target is ejected the first time
 * @param lateAnswerWait how long to wait for an answer after the caller of a request that
 * is not idempotent stopped waiting, so that the answer can be stored for a resend
 */
public record RoutingSettings(int maximumOpenExchanges, Duration maximumQueueWait, int maximumAttempts,
		double retryShare, Duration backoffBase, Duration backoffMaximum, double maximumEjectedShare,
		Duration baseEjectionDuration, Duration lateAnswerWait) {

	/** The default settings. */
	public static final RoutingSettings STANDARD = new RoutingSettings(20_000, Duration.ofMillis(500), 3, 0.1,
			Duration.ofMillis(20), Duration.ofSeconds(1), 0.4, Duration.ofSeconds(5), Duration.ofSeconds(10));

}
