package io.verbenatrack.settings;

import java.time.Duration;

/**
 * How long an instance waits.
 *
 * @param configurationLease how long it may admit work without confirming its
 * configuration
 * @param heartbeat the interval between messages of the leading replica
 * @param election the shortest time without such a message before another replica stands
 * @param targetLease how long a target stays known without renewal
 * @param connect how long a new connection may take
 * @param probe how long a silent connection may take to reply before another is tried
 * @param requestDefault the timeout of a request that names none
 * @param requestMaximum the longest timeout of a request
 * @param answerRetention how long answers are kept for resends
 * @param httpIdle how long a caller's connection may be idle
 * @param balancerDelay how long the balancer may still send callers after readiness ends
 * @param shutdownDeadline how long requests in flight may take to finish at shutdown
 */
public record TimeoutSettings(Duration configurationLease, Duration heartbeat, Duration election, Duration targetLease,
		Duration connect, Duration probe, Duration requestDefault, Duration requestMaximum, Duration answerRetention,
		Duration httpIdle, Duration balancerDelay, Duration shutdownDeadline) {

}
