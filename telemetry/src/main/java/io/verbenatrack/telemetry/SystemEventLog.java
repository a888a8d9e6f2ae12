package io.verbenatrack.telemetry;

import java.time.InstantSource;
import java.util.Map;

import io.verbenatrack.settings.TelemetrySettings.LogFormat;

/**
 * Writes events to a {@link System.Logger}, one line each.
 */
public final class SystemEventLog implements EventLog {

	/** The name of the logger that events are written to. */
	public static final String LOGGER_NAME = "io.verbenatrack";

	private final System.Logger logger;

	private final LogFormat format;

	private final InstantSource clock;

	/**
	 * Creates a log that writes to the system logger.
	 * @param format the format of the lines
	 * @param clock provides the time of each event
	 */
	public SystemEventLog(LogFormat format, InstantSource clock) {
		this(System.getLogger(LOGGER_NAME), format, clock);
	}

	SystemEventLog(System.Logger logger, LogFormat format, InstantSource clock) {
		this.logger = logger;
		this.format = format;
		this.clock = clock;
	}

	@Override
	public void write(LogEvent event, Map<String, Object> fields) {
		if (!this.logger.isLoggable(event.level())) {
			return;
		}
		String line = switch (this.format) {
			case TEXT -> EventFormatter.text(this.clock.instant(), event, fields);
			case JSON -> EventFormatter.json(this.clock.instant(), event, fields);
		};
		this.logger.log(event.level(), line);
	}

}
