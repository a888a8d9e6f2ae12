package io.verbenatrack.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link BenchCommand}.
 */
public class BenchCommandTests {

	@Test
	public void theSchedulingBenchWritesItsFigures() throws IOException {
		Path file = Files.createTempDirectory("bench").resolve("figures.json");
		CommandLineRun run = CommandLineRun.of("bench", "scheduling", "--seed", "7", "--jobs", "20", "--workload",
				"catering-day", "--json", file.toString());
		assertThat(run.code()).as(run.err()).isEqualTo(ExitCode.DONE);
		assertThat(new ObjectMapper().readTree(file.toFile()).path("workloads")).isNotEmpty();
	}

	@Test
	public void anUnknownWorkloadIsAUsageError() {
		CommandLineRun run = CommandLineRun.of("bench", "scheduling", "--workload", "quiet-day");
		assertThat(run.code()).isEqualTo(ExitCode.USAGE);
		assertThat(run.err()).contains("'quiet-day'").contains("rack-loss");
	}

	@Test
	public void anUnsupportedSizeIsAUsageError() {
		CommandLineRun run = CommandLineRun.of("bench", "scheduling", "--workers", "3");
		assertThat(run.code()).isEqualTo(ExitCode.USAGE);
		assertThat(run.err()).contains("30 workers or more");
	}

}
