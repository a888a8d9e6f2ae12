package io.verbenatrack.settings;

import java.net.URI;
import java.util.Optional;

/**
 * Settings for logs and traces.
 *
 * @param logFormat the format of log lines
 * @param traces the destination of spans
 * @param tracesEndpoint the OTLP collector; present if and only if traces are exported
 * over OTLP
 * @param tracesShare the fraction of requests whose spans are exported, from 0 to 1
 */
public record TelemetrySettings(LogFormat logFormat, TraceExport traces, Optional<URI> tracesEndpoint,
		double tracesShare) {

	/**
	 * The format of log lines.
	 */
	public enum LogFormat {

		/** One readable line for each event. */
		TEXT,

		/** One JSON object for each event. */
		JSON

	}

	/**
	 * The destination of spans.
	 */
	public enum TraceExport {

		/** Spans are not exported. */
		NONE,

		/** Spans are written to the log. */
		LOG,

		/** Spans are sent to an OTLP collector over HTTP. */
		OTLP

	}

}
