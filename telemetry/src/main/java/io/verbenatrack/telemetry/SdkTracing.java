package io.verbenatrack.telemetry;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SpanProcessor;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import io.opentelemetry.sdk.trace.samplers.Sampler;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.settings.TelemetrySettings;

/**
 * Records spans with the OpenTelemetry SDK.
 */
final class SdkTracing implements Tracing {

	private static final long SHUTDOWN_TIMEOUT_SECONDS = 2;

	private static final W3CTraceContextPropagator PROPAGATOR = W3CTraceContextPropagator.getInstance();

	private final SdkTracerProvider provider;

	private final Tracer tracer;

	private SdkTracing(TelemetrySettings settings, InstanceId instance, SpanProcessor processor) {
		Attributes attributes = Attributes.builder()
			.put("service.name", "verbenatrack")
			.put("service.instance.id", instance.value())
			.build();
		this.provider = SdkTracerProvider.builder()
			.setResource(Resource.create(attributes))
			.setSampler(Sampler.parentBased(Sampler.traceIdRatioBased(settings.tracesShare())))
			.addSpanProcessor(processor)
			.build();
		this.tracer = this.provider.get("io.verbenatrack");
	}

	static SdkTracing toLog(TelemetrySettings settings, InstanceId instance, EventLog log) {
		return new SdkTracing(settings, instance, SimpleSpanProcessor.create(new LogSpanExporter(log)));
	}

	static SdkTracing toCollector(TelemetrySettings settings, InstanceId instance) {
		return new SdkTracing(settings, instance,
				BatchSpanProcessor.builder(OtlpExporters.http(settings.tracesEndpoint().orElseThrow())).build());
	}

	@Override
	public HopSpan startSpan(Hop hop, Optional<String> parent) {
		Context context = parent
			.map((header) -> PROPAGATOR.extract(Context.root(), Map.of(TRACEPARENT, header), new HeaderGetter()))
			.orElse(Context.root());
		return new RecordingSpan(this.tracer.spanBuilder(hop.spanName()).setParent(context).startSpan());
	}

	@Override
	public void close() {
		this.provider.shutdown().join(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	/**
	 * Reads the trace context from headers.
	 */
	private static final class HeaderGetter implements TextMapGetter<Map<String, String>> {

		@Override
		public Iterable<String> keys(Map<String, String> headers) {
			return headers.keySet();
		}

		@Override
		public String get(Map<String, String> headers, String key) {
			return (headers != null) ? headers.get(key) : null;
		}

	}

	/**
	 * A span that is recorded by the SDK.
	 *
	 * @param span the span
	 */
	private record RecordingSpan(Span span) implements HopSpan {

		@Override
		public Optional<String> context() {
			StringBuilder header = new StringBuilder();
			PROPAGATOR.inject(Context.root().with(this.span), header, (carrier, key, value) -> {
				if (TRACEPARENT.equals(key)) {
					carrier.append(value);
				}
			});
			return header.isEmpty() ? Optional.empty() : Optional.of(header.toString());
		}

		@Override
		public HopSpan setAttribute(String key, String value) {
			this.span.setAttribute(key, value);
			return this;
		}

		@Override
		public void fail(String description) {
			this.span.setStatus(StatusCode.ERROR, description);
		}

		@Override
		public void close() {
			this.span.end();
		}

	}

}
