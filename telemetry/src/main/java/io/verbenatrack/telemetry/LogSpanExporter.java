package io.verbenatrack.telemetry;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;

/**
 * Exports each span as a log event.
 */
final class LogSpanExporter implements SpanExporter {

	private final EventLog log;

	LogSpanExporter(EventLog log) {
		this.log = log;
	}

	@Override
	public CompletableResultCode export(Collection<SpanData> spans) {
		spans.forEach(this::write);
		return CompletableResultCode.ofSuccess();
	}

	@Override
	public CompletableResultCode flush() {
		return CompletableResultCode.ofSuccess();
	}

	@Override
	public CompletableResultCode shutdown() {
		return CompletableResultCode.ofSuccess();
	}

	private void write(SpanData span) {
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("span", span.getName());
		fields.put("traceId", span.getTraceId());
		fields.put("spanId", span.getSpanId());
		fields.put("parentSpanId", span.getParentSpanId());
		fields.put("micros", TimeUnit.NANOSECONDS.toMicros(span.getEndEpochNanos() - span.getStartEpochNanos()));
		fields.put("status", span.getStatus().getStatusCode().name());
		span.getAttributes().forEach((key, value) -> fields.put(key.getKey(), value));
		this.log.write(LogEvent.TRACE_SPAN, fields);
	}

}
