package io.verbenatrack.settings;

import java.net.URI;
import java.util.Optional;

/**
 * Where logs and traces go.
 *
 * @param logFormat the form of log lines
 * @param traces where spans go
 * @param tracesEndpoint the OTLP collector, present exactly when traces go to one
 * @param tracesShare the share of requests whose spans are kept, from 0 to 1
 */
public record TelemetrySettings(LogFormat logFormat, TraceExport traces, Optional<URI> tracesEndpoint,
		double tracesShare) {

	/**
	 * The form of log lines.
	 */
	public enum LogFormat {

		/** One readable line for each event. */
		TEXT,

		/** One JSON object for each event. */
		JSON

	}

	/**
	 * Where spans go.
	 */
	public enum TraceExport {

		/** Nowhere. */
		NONE,

		/** To the log. */
		LOG,

		/** To an OTLP collector over HTTP. */
		OTLP

	}

}
