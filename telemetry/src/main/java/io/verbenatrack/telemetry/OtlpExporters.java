package io.verbenatrack.telemetry;

import java.net.URI;

import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.trace.export.SpanExporter;

/**
 * Creates exporters to a collector; a class of its own, so that its libraries load only
 * when a collector is set.
 */
final class OtlpExporters {

	private OtlpExporters() {
	}

	static SpanExporter http(URI endpoint) {
		return OtlpHttpSpanExporter.builder().setEndpoint(endpoint.toString()).build();
	}

}
