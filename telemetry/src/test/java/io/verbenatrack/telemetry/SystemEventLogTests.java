package io.verbenatrack.telemetry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.InstantSource;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.testng.annotations.Test;

import io.verbenatrack.settings.TelemetrySettings.LogFormat;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SystemEventLog}.
 */
public class SystemEventLogTests {

	private static final InstantSource CLOCK = InstantSource.fixed(Instant.parse("2026-12-04T20:00:00Z"));

	private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

	@Test
	public void textShowsNumberAndFieldsOnOneLine() {
		this.bytes.reset();
		log(LogFormat.TEXT).write(LogEvent.INSTANCE_READY, new EventLog.Field("instance", "i-1"),
				new EventLog.Field("note", "two words\nand \"more\""));
		assertThat(written()).isEqualTo("2026-12-04T20:00:00Z INFO 1001 The instance is ready. instance=i-1 "
				+ "note=\"two words and \\\"more\\\"\"\n");
	}

	@Test
	public void textOfAWarningNamesTheRemedy() {
		this.bytes.reset();
		log(LogFormat.TEXT).write(LogEvent.TARGET_LOST, new EventLog.Field("target", "t"));
		assertThat(written()).contains(" WARNING 1031 ").endsWith("Remedy: " + LogEvent.TARGET_LOST.remedy() + "\n");
	}

	@Test
	public void jsonIsOneObjectOnOneLine() throws IOException {
		this.bytes.reset();
		log(LogFormat.JSON).write(LogEvent.INSTANCE_READY, new EventLog.Field("port", 8080),
				new EventLog.Field("note", "a\nb"));
		assertThat(written().lines()).hasSize(1);
		JsonNode node = new ObjectMapper().readTree(written());
		assertThat(node.path("event").asInt()).isEqualTo(LogEvent.INSTANCE_READY.number());
		assertThat(node.path("fields").path("port").isInt()).isTrue();
		assertThat(node.path("fields").path("note").asText()).isEqualTo("a\nb");
	}

	@Test
	public void systemLoggerLogsEventsAtInfoAndOthersFromWarning() {
		assertThat(System.getLogger(SystemEventLog.LOGGER_NAME).isLoggable(System.Logger.Level.INFO)).isTrue();
		assertThat(System.getLogger("other").isLoggable(System.Logger.Level.INFO)).isFalse();
	}

	private SystemEventLog log(LogFormat format) {
		PrintStream stream = new PrintStream(this.bytes, true, StandardCharsets.UTF_8);
		return new SystemEventLog(new StandardErrorLogger(SystemEventLog.LOGGER_NAME, stream), format, CLOCK);
	}

	private String written() {
		return this.bytes.toString(StandardCharsets.UTF_8);
	}

}
