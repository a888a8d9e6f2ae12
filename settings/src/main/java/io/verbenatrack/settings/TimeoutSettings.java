package io.verbenatrack.settings;

import java.time.Duration;

/**
 * Timeouts, leases and intervals of an instance.
 *
 * @param configurationLease how long the instance may admit work without confirming that
 * its configuration is current
 * @param heartbeat the interval between heartbeats of the leading replica
 * @param election the minimum time without a heartbeat before another replica starts an
 * election
 * @param targetLease how long a target stays registered without renewing its announcement
 * @param connect the timeout for establishing a connection
 * @param probe how long a silent connection may take to answer a probe before another
 * connection is tried
 * @param requestDefault the timeout of a request that does not set one
 * @param requestMaximum the maximum timeout of a request
 * @param answerRetention how long answers are retained for retries
 * @param httpIdle the idle timeout of client connections
 * @param balancerDelay how long the load balancer may still route connections to this
 * instance after it stops reporting ready
 * @param shutdownDeadline how long requests in flight may take to complete at shutdown
 */
public record TimeoutSettings(Duration configurationLease, Duration heartbeat, Duration election, Duration targetLease,
		Duration connect, Duration probe, Duration requestDefault, Duration requestMaximum, Duration answerRetention,
		Duration httpIdle, Duration balancerDelay, Duration shutdownDeadline) {

}
