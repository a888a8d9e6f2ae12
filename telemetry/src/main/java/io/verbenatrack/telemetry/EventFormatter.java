package io.verbenatrack.telemetry;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.Map;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

/**
 * Formats events as lines of text or JSON.
 */
final class EventFormatter {

	private static final JsonFactory JSON = new JsonFactory();

	private EventFormatter() {
	}

	static String text(Instant time, LogEvent event, Map<String, Object> fields) {
		StringBuilder line = new StringBuilder();
		line.append(time).append(' ').append(event.level()).append(' ').append(event.number()).append(' ');
		line.append(event.text());
		fields.forEach((name, value) -> line.append(' ').append(name).append('=').append(quoted(value)));
		if (event.level().getSeverity() >= System.Logger.Level.WARNING.getSeverity()) {
			line.append(" Remedy: ").append(event.remedy());
		}
		return line.toString();
	}

	static String json(Instant time, LogEvent event, Map<String, Object> fields) {
		StringWriter line = new StringWriter();
		try (JsonGenerator generator = JSON.createGenerator(line)) {
			generator.writeStartObject();
			generator.writeStringField("time", time.toString());
			generator.writeStringField("level", event.level().name());
			generator.writeNumberField("event", event.number());
			generator.writeStringField("name", event.name());
			generator.writeStringField("text", event.text());
			generator.writeStringField("remedy", event.remedy());
			generator.writeObjectFieldStart("fields");
			for (Map.Entry<String, Object> field : fields.entrySet()) {
				write(generator, field.getKey(), field.getValue());
			}
			generator.writeEndObject();
			generator.writeEndObject();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return line.toString();
	}

	private static void write(JsonGenerator generator, String name, Object value) throws IOException {
		switch (value) {
			case Integer number -> generator.writeNumberField(name, number);
			case Long number -> generator.writeNumberField(name, number);
			case Double number -> generator.writeNumberField(name, number);
			case Boolean flag -> generator.writeBooleanField(name, flag);
			case null -> generator.writeNullField(name);
			default -> generator.writeStringField(name, value.toString());
		}
	}

	private static String quoted(Object value) {
		String text = String.valueOf(value);
		boolean needsNoQuotes = !text.isEmpty()
				&& text.chars().allMatch((character) -> character > ' ' && character != '"');
		if (needsNoQuotes) {
			return text;
		}
		StringBuilder quoted = new StringBuilder("\"");
		text.chars().forEach((character) -> {
			if (character == '"' || character == '\\') {
				quoted.append('\\');
			}
			quoted.append(Character.isISOControl(character) ? ' ' : (char) character);
		});
		return quoted.append('"').toString();
	}

}
