package io.verbenatrack.telemetry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CatalogueWriter}. Guards against reference pages that were not
 * regenerated after a change to the events or metrics.
 */
public class CatalogueWriterTests {

	private static final int RANGE_SIZE = 1000;

	private static final int HIGHEST_RANGE = 6;

	@Test
	public void eventsPageMatchesTheCode() throws IOException {
		assertThat(Files.readString(docs().resolve("EVENTS.md"))).as("Run tools/generate-docs.")
			.isEqualTo(CatalogueWriter.events());
	}

	@Test
	public void metricsPageMatchesTheCode() throws IOException {
		assertThat(Files.readString(docs().resolve("METRICS.md"))).as("Run tools/generate-docs.")
			.isEqualTo(CatalogueWriter.metrics());
	}

	@Test
	public void eventNumbersAreUniqueSortedAndInAModuleRange() {
		assertThat(LogEvent.values()).extracting(LogEvent::number).doesNotHaveDuplicates();
		assertThat(LogEvent.values()).isSortedAccordingTo(Comparator.comparingInt(LogEvent::number));
		assertThat(LogEvent.values())
			.allMatch((event) -> event.number() / RANGE_SIZE >= 1 && event.number() / RANGE_SIZE <= HIGHEST_RANGE);
	}

	@Test
	public void eventTextsAndRemediesAreSentences() {
		assertThat(Arrays.asList(LogEvent.values()))
			.allMatch((event) -> event.text().endsWith(".") && event.remedy().endsWith("."));
	}

	private static Path docs() {
		Path folder = Path.of("").toAbsolutePath();
		while (!Files.isDirectory(folder.resolve("docs"))) {
			folder = folder.getParent();
		}
		return folder.resolve("docs");
	}

}
