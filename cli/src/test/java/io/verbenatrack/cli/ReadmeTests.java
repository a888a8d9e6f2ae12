package io.verbenatrack.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.util.Arrays;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the README's first command works.
 */
public class ReadmeTests {

	private static final String PROGRAM = "./verbenatrack ";

	@Test
	public void theFirstCommandRunsToCompletion() throws IOException {
		String first = Files.readAllLines(CommandLineRun.root().resolve("README.md"))
			.stream()
			.filter((line) -> line.startsWith(PROGRAM))
			.findFirst()
			.orElseThrow();
		String[] words = Arrays.stream(first.substring(PROGRAM.length()).split(" "))
			.map((word) -> word.startsWith("examples/") ? CommandLineRun.root().resolve(word).toString() : word)
			.toArray(String[]::new);
		CommandLineRun run = CommandLineRun.of(words);
		assertThat(run.code()).as(run.out() + run.err()).isEqualTo(ExitCode.DONE);
		assertThat(run.out()).contains("0 without outcome").contains("0 unknown, 0 ran twice");
	}

	@Test
	public void theLauncherIsExecutable() {
		assertThat(CommandLineRun.root().resolve("verbenatrack")).isExecutable();
	}

}
