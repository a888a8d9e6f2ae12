package io.verbenatrack.telemetry;

import java.util.LinkedHashMap;
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

	/**
	 * Writes an event.
	 * @param event the event
	 * @param fields its fields, in the order in which they are shown
	 */
	default void write(LogEvent event, Field... fields) {
		Map<String, Object> byName = new LinkedHashMap<>();
		for (Field field : fields) {
			byName.put(field.name(), field.value());
		}
		write(event, byName);
	}

	/**
	 * Writes nothing.
	 * @return a log for tests of other matters
	 */
	static EventLog none() {
		return (event, fields) -> {
		};
	}

	/**
	 * One field of an event.
	 *
	 * @param name its name in camel case
	 * @param value its value; its text is shown
	 */
	record Field(String name, Object value) {

	}

}
