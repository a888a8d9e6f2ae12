package io.verbenatrack.telemetry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/**
 * Writes the catalogues of events and metrics for the docs folder.
 */
public final class CatalogueWriter {

	private CatalogueWriter() {
	}

	/**
	 * Writes docs/EVENTS.md and docs/METRICS.md.
	 * @param args the docs folder
	 * @throws IOException when a file cannot be written
	 */
	public static void main(String[] args) throws IOException {
		Path docs = Path.of(args[0]);
		Files.writeString(docs.resolve("EVENTS.md"), events());
		Files.writeString(docs.resolve("METRICS.md"), metrics());
	}

	static String events() {
		StringBuilder page = new StringBuilder("""
				# Events

				Generated from the code by tools/generate-docs; a test compares. Each event has a number that never
				changes. Its module has a range: server 1001 to 1999, control 2001 to 2999, scheduling 3001 to 3999,
				routing 4001 to 4999, settings and command line 5001 to 5999, the fleet 6001 to 6999.

				| number | name | level | what happened | remedy |
				| --- | --- | --- | --- | --- |
				""");
		for (LogEvent event : LogEvent.values()) {
			page.append("| %d | %s | %s | %s | %s |\n".formatted(event.number(), event.name(), event.level(),
					event.text(), event.remedy()));
		}
		return page.toString();
	}

	static String metrics() {
		StringBuilder page = new StringBuilder("""
				# Metrics

				Generated from the code by tools/generate-docs; a test compares. `GET /metrics` gives them in the text
				format of Prometheus. Names, labels and units never change, so that dashboards keep working. A timer
				appears as `_count`, `_sum` and `_max`.

				| name | type | labels | what it measures |
				| --- | --- | --- | --- |
				""");
		for (MetricName name : MetricName.values()) {
			page.append("| `%s` | %s | %s | %s |\n".formatted(exposedName(name),
					name.type().name().toLowerCase(Locale.ROOT), String.join(", ", name.labels()), name.description()));
		}
		return page.toString();
	}

	/**
	 * The name that Prometheus shows.
	 * @param name the metric
	 * @return the name with its unit and suffix
	 */
	static String exposedName(MetricName name) {
		String base = name.meterName().replace('.', '_');
		String withUnit = (name.unit().isEmpty() || base.endsWith("_" + name.unit())) ? base : base + "_" + name.unit();
		return (name.type() != MetricName.Type.COUNTER) ? withUnit : withUnit + "_total";
	}

}
