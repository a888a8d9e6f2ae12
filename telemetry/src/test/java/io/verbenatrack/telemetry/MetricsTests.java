package io.verbenatrack.telemetry;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link Metrics}. A golden file guards the names, types and labels that
 * dashboards depend on.
 */
public class MetricsTests {

	@Test
	public void namesTypesAndLabelsMatchTheGoldenFile() throws IOException {
		try (Metrics metrics = new Metrics(); InputStream golden = getClass().getResourceAsStream("/metrics.golden")) {
			for (MetricName name : MetricName.values()) {
				register(metrics, name);
			}
			List<String> lines = metrics.scrape()
				.lines()
				.filter((line) -> !line.startsWith("# HELP"))
				.sorted()
				.toList();
			assertThat(lines)
				.containsExactlyElementsOf(new String(golden.readAllBytes(), StandardCharsets.UTF_8).lines().toList());
		}
	}

	@Test
	public void documentedNamesMatchTheExposedNames() {
		try (Metrics metrics = new Metrics()) {
			for (MetricName name : MetricName.values()) {
				register(metrics, name);
				assertThat(metrics.scrape()).contains(CatalogueWriter.exposedName(name));
			}
		}
	}

	@Test
	public void registeringACounterTwiceReturnsTheSameCounter() {
		try (Metrics metrics = new Metrics()) {
			metrics.counter(MetricName.REFUSALS, "INVALID").increment();
			metrics.counter(MetricName.REFUSALS, "INVALID").increment();
			assertThat(metrics.scrape()).contains("verbenatrack_refusals_total{kind=\"INVALID\"} 2.0");
		}
	}

	@Test
	public void rejectsAnotherTypeOrMissingLabels() {
		try (Metrics metrics = new Metrics()) {
			assertThatIllegalArgumentException().isThrownBy(() -> metrics.timer(MetricName.REFUSALS, "x"));
			assertThatIllegalArgumentException().isThrownBy(() -> metrics.counter(MetricName.REFUSALS));
		}
	}

	private static void register(Metrics metrics, MetricName name) {
		String[] values = name.labels().stream().map((label) -> "x").toArray(String[]::new);
		switch (name.type()) {
			case COUNTER -> metrics.counter(name, values).increment();
			case GAUGE -> metrics.gauge(name, () -> 1, values);
			case TIMER -> metrics.timer(name, values).record(Duration.ofSeconds(1));
			case HISTOGRAM -> metrics.histogram(name, values).record(Duration.ofSeconds(1));
		}
	}

}
