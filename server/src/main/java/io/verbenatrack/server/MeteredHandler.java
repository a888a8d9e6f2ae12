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
 * Counts, times and traces the requests to services.
 */
final class MeteredHandler extends Handler.Wrapper {

	private static final String PREFIX = "/v1/requests/";

	private static final String OUTCOME = "Verbenatrack-Outcome";

	private static final String REFUSED = "refused";

	private final Metrics metrics;

	private final Tracing tracing;

	private final MonotonicClock clock;

	private final KnownServices services;

	MeteredHandler(Handler handler, Metrics metrics, Tracing tracing, MonotonicClock clock, KnownServices services) {
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
		long began = this.clock.nanoTime();
		Request.addCompletionListener(request, (failure) -> record(service, span, began, response));
		return super.handle(request, response, callback);
	}

	private void record(String service, HopSpan span, long began, Response response) {
		String told = response.getHeaders().get(OUTCOME);
		String outcome = (told != null) ? told : REFUSED;
		this.metrics.counter(MetricName.REQUESTS, service, outcome).increment();
		this.metrics.timer(MetricName.REQUEST_TIME, service).record(Duration.ofNanos(this.clock.nanoTime() - began));
		span.setAttribute("outcome", outcome).close();
	}

	/** Bounds the values of a label. */
	interface KnownServices {

		/** The label of services that no target announced. */
		String OTHER = "other";

		/**
		 * The services that targets announced.
		 * @return their names
		 */
		List<String> names();

		/**
		 * The label of a service.
		 * @param name the name in a path
		 * @return the name when it is known, else {@value #OTHER}
		 */
		default String label(String name) {
			return names().contains(name) ? name : OTHER;
		}

	}

}
