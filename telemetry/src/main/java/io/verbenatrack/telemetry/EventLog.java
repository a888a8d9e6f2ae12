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
	 * @param fields the values of its fields, by name
	 */
	void write(LogEvent event, Map<String, Object> fields);

	/**
	 * Writes an event.
	 * @param event the event
	 * @param fields its fields, in the order in which they are written
	 */
	default void write(LogEvent event, Field... fields) {
		Map<String, Object> byName = new LinkedHashMap<>();
		for (Field field : fields) {
			byName.put(field.name(), field.value());
		}
		write(event, byName);
	}

	/**
	 * Returns a log that discards all events, for use in tests.
	 * @return the log
	 */
	static EventLog none() {
		return (event, fields) -> {
		};
	}

	/**
	 * A field of an event.
	 *
	 * @param name the name, in camel case
	 * @param value the value; numbers and booleans keep their type in JSON, others are
	 * written as text
	 */
	record Field(String name, Object value) {

		/**
		 * Creates a field that tells where a failure was thrown.
		 * @param failure the failure
		 * @return the field "at" with the innermost stack frame, or "unknown"
		 */
		public static Field at(Throwable failure) {
			StackTraceElement[] trace = failure.getStackTrace();
			return new Field("at", (trace.length > 0) ? trace[0] : "unknown");
		}

	}

}
