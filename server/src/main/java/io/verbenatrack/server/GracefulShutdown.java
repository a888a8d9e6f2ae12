package io.verbenatrack.server;

import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.verbenatrack.server.routing.RequestRouting;
import io.verbenatrack.settings.TimeoutSettings;
import io.verbenatrack.telemetry.EventLog;
import io.verbenatrack.telemetry.LogEvent;

/**
 * Shuts an instance down without interrupting the requests in flight.
 *
 * <p>
 * The instance reports not ready first and serves callers until the balancer delay has
 * passed. Then it refuses new requests and lets those in flight finish until the shutdown
 * deadline.
 */
final class GracefulShutdown {

	private static final Duration RESPONSE_MARGIN = Duration.ofSeconds(1);

	private final TimeoutSettings timeouts;

	private final Readiness readiness;

	private final RequestRouting routing;

	private final EventLog events;

	GracefulShutdown(TimeoutSettings timeouts, Readiness readiness, RequestRouting routing, EventLog events) {
		this.timeouts = timeouts;
		this.readiness = readiness;
		this.routing = routing;
		this.events = events;
	}

	void run() {
		this.events.write(LogEvent.INSTANCE_STOPPING);
		this.readiness.shuttingDown();
		try {
			TimeUnit.MILLISECONDS.sleep(this.timeouts.balancerDelay().toMillis());
			Duration deadline = this.timeouts.shutdownDeadline();
			this.routing.drain(deadline).get(deadline.plus(RESPONSE_MARGIN).toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			this.events.write(LogEvent.SHUTDOWN_DEADLINE_PASSED);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException(ex);
		}
	}

	void logStopped() {
		this.events.write(LogEvent.INSTANCE_STOPPED);
	}

}
