package io.verbenatrack.telemetry;

import java.util.Optional;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.settings.TelemetrySettings;

/**
 * Starts a span for each hop.
 *
 * <p>
 * The context of a span travels between processes as the W3C header
 * {@value #TRACEPARENT}: as an HTTP header, and as a gRPC metadata entry of the same
 * name.
 */
public sealed interface Tracing extends AutoCloseable permits NoTracing, SdkTracing {

	/** The header and metadata entry that carries the context. */
	String TRACEPARENT = "traceparent";

	/**
	 * Starts tracing as the settings say; the tracing libraries load only when they are
	 * used.
	 * @param settings where spans go
	 * @param instance named in each span
	 * @param log receives spans when they go to the log
	 * @return the tracing
	 */
	static Tracing start(TelemetrySettings settings, InstanceId instance, EventLog log) {
		return switch (settings.traces()) {
			case NONE -> new NoTracing();
			case LOG -> SdkTracing.toLog(settings, instance, log);
			case OTLP -> SdkTracing.toCollector(settings, instance);
		};
	}

	/**
	 * Starts the span of a hop.
	 * @param hop the hop
	 * @param parent the context that came with the call, if one came
	 * @return the span, to be closed when the hop ends
	 */
	HopSpan span(Hop hop, Optional<String> parent);

	@Override
	void close();

}
