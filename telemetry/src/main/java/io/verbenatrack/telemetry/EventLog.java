package io.verbenatrack.telemetry;

import java.util.Map;

/**
 * Writes numbered log events.
 */
public interface EventLog {

	/**
	 * Writes an event.
	 * @param event the event
	 * @param fields its fields by name
	 */
	void write(LogEvent event, Map<String, Object> fields);

}
