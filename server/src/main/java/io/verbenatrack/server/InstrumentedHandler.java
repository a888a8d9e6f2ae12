package io.verbenatrack.server;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.telemetry.Hop;
import io.verbenatrack.telemetry.HopSpan;
import io.verbenatrack.telemetry.MetricName;
import io.verbenatrack.telemetry.Metrics;
import io.verbenatrack.telemetry.Tracing;

/**
 * Records metrics and trace spans for requests to services.
 */
final class InstrumentedHandler extends Handler.Wrapper {

	private static final String PREFIX = "/v1/requests/";

	private static final String OUTCOME = "Verbenatrack-Outcome";

	private static final String REFUSED = "refused";

	private final Metrics metrics;

	private final Tracing tracing;

	private final MonotonicClock clock;

	private final ServiceLabels services;

	InstrumentedHandler(Handler handler, Metrics metrics, Tracing tracing, MonotonicClock clock,
			ServiceLabels services) {
		super(handler);
		this.metrics = metrics;
		this.tracing = tracing;
		this.clock = clock;
		this.services = services;
	}

	@Override
	public boolean handle(Request request, Response response, Callback callback) throws Exception {
		String path = Request.getPathInContext(request);
		if (!path.startsWith(PREFIX)) {
			return super.handle(request, response, callback);
		}
		String service = this.services.label(path.substring(PREFIX.length()));
		Optional<String> parent = Optional.ofNullable(request.getHeaders().get(Tracing.TRACEPARENT));
		HopSpan span = this.tracing.startSpan(Hop.REQUEST, parent).setAttribute("service", service);
		long startNanos = this.clock.nanoTime();
		Request.addCompletionListener(request, (failure) -> record(service, span, startNanos, response));
		return super.handle(request, response, callback);
	}

	private void record(String service, HopSpan span, long startNanos, Response response) {
		String outcomeHeader = response.getHeaders().get(OUTCOME);
		String outcome = (outcomeHeader != null) ? outcomeHeader : REFUSED;
		this.metrics.counter(MetricName.REQUESTS, service, outcome).increment();
		this.metrics.timer(MetricName.REQUEST_TIME, service)
			.record(Duration.ofNanos(this.clock.nanoTime() - startNanos));
		span.setAttribute("outcome", outcome).close();
	}

	/**
	 * Bounds the number of values of the service label: callers choose the name in the
	 * path.
	 */
	interface ServiceLabels {

		/** The label value of services that no target has announced. */
		String OTHER = "other";

		/**
		 * Returns the services that targets have announced.
		 * @return their names
		 */
		List<String> names();

		/**
		 * Returns the label value of a service.
		 * @param name the name in a path
		 * @return the name if a target has announced it, otherwise {@value #OTHER}
		 */
		default String label(String name) {
			return names().contains(name) ? name : OTHER;
		}

	}

}
