package io.verbenatrack.telemetry;

import java.util.Optional;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.settings.TelemetrySettings;

/**
 * Starts the spans of hops.
 *
 * <p>
 * The trace context is propagated between processes as the W3C header
 * {@value #TRACEPARENT}: as an HTTP header, and as a gRPC metadata entry of the same
 * name.
 */
public sealed interface Tracing extends AutoCloseable permits NoopTracing, SdkTracing {

	/** The name of the header and metadata entry that carries the trace context. */
	String TRACEPARENT = "traceparent";

	/**
	 * Starts tracing as configured in the settings. The tracing libraries are loaded only
	 * if they are used.
	 * @param settings selects the export of spans
	 * @param instance the instance that is named in each span
	 * @param log receives the spans if they are exported to the log
	 * @return the tracing
	 */
	static Tracing start(TelemetrySettings settings, InstanceId instance, EventLog log) {
		return switch (settings.traces()) {
			case NONE -> new NoopTracing();
			case LOG -> SdkTracing.toLog(settings, instance, log);
			case OTLP -> SdkTracing.toCollector(settings, instance);
		};
	}

	/**
	 * Starts the span of a hop.
	 * @param hop the hop
	 * @param parent the trace context of the incoming call, or empty to start a new trace
	 * @return the span, to be closed when the hop ends
	 */
	HopSpan startSpan(Hop hop, Optional<String> parent);

	@Override
	void close();

}
