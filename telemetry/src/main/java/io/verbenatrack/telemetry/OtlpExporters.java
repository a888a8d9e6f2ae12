package io.verbenatrack.telemetry;

import java.net.URI;

import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.trace.export.SpanExporter;

/**
 * Creates exporters that send spans to an OTLP collector. A separate class, so that the
 * exporter libraries are loaded only if a collector is configured.
 */
final class OtlpExporters {

	private OtlpExporters() {
	}

	static SpanExporter http(URI endpoint) {
		return OtlpHttpSpanExporter.builder().setEndpoint(endpoint.toString()).build();
	}

}
