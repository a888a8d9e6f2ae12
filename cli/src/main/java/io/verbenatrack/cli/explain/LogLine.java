package io.verbenatrack.cli.explain;

import java.time.Instant;
import java.util.Comparator;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An event in the log of an instance.
 *
 * @param time the time of the event
 * @param sequence keeps lines with equal times in the order in which they were read
 * @param source the name of the log file
 * @param name the name of the event
 * @param fields the fields of the event
 */
record LogLine(Instant time, int sequence, String source, String name, JsonNode fields) {

	static final Comparator<LogLine> BY_TIME = Comparator.comparing(LogLine::time).thenComparingInt(LogLine::sequence);

	/**
	 * Returns a field as text.
	 * @param field the name of the field
	 * @return the text, empty if there is no such field
	 */
	String text(String field) {
		return this.fields.path(field).asText();
	}

}
