package io.verbenatrack.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConfigCommand} on the examples.
 */
public class ConfigCommandTests {

	private static final Path EXAMPLES = CommandLineRun.root().resolve("examples/platform");

	private static final String IN_FORCE = EXAMPLES.resolve("in-force.json").toString();

	private static final String NEXT = EXAMPLES.resolve("next.json").toString();

	/** Guards against a check that never passes, or passes in spite of findings. */
	@Test
	public void theExitCodeTellsWhetherSomethingWasFound() {
		CommandLineRun clean = CommandLineRun.of("config", "check", NEXT, "--accelerators", "64");
		assertThat(clean.code()).as(clean.out() + clean.err()).isEqualTo(ExitCode.DONE);
		assertThat(clean.out()).hasLineCount(1).contains("findings: 0");
		CommandLineRun tooSmall = CommandLineRun.of("config", "check", NEXT, "--accelerators", "63");
		assertThat(tooSmall.code()).isEqualTo(ExitCode.FINDINGS);
		assertThat(tooSmall.out()).contains("contradiction: ").contains("guaranteed 64").contains("\n  Lower");
	}

	/** Guards against differences that are left out, and against keys in the output. */
	@Test
	public void differencesAreFindingsWithoutKeys() {
		CommandLineRun run = CommandLineRun.of("config", "check", NEXT, "--against", IN_FORCE);
		assertThat(run.code()).isEqualTo(ExitCode.FINDINGS);
		assertThat(run.out()).contains("added: queue batch\n")
			.contains("changed: client account south: guaranteed accelerators from 20 to 24\n")
			.contains("changed: client account south: API keys: 1 added, 0 removed\n")
			.contains("findings: 3")
			.doesNotContain("south-");
		assertThat(CommandLineRun.of("config", "check", IN_FORCE, "--against", IN_FORCE).out())
			.startsWith("version: The version 7 is not above the version in force, 7");
	}

	/** Guards against names that move the cursor or forge lines of the output. */
	@Test
	public void controlCharactersOfNamesAreEscaped() throws IOException {
		Path file = Files.createTempFile("configuration", ".json");
		try {
			Files.writeString(file,
					Files.readString(Path.of(NEXT))
						.replace("\"batch\"", "\"batch\\u001b[2K\\nerror: \\u202e\"")
						.replace("\"/batch/\"", "\"batch/\""));
			CommandLineRun run = CommandLineRun.of("config", "check", file.toString());
			assertThat(run.out()).contains("never matches: The queue batch\\u001b[2K\\u000aerror: \\u202e has")
				.doesNotContain("\u001b")
				.hasLineCount(3);
		}
		finally {
			Files.delete(file);
		}
	}

	@DataProvider
	Object[][] wrongLines() {
		return new Object[][] { { "config", "Give check FILE." }, { "config check", "Give check FILE." },
				{ "config chekc " + NEXT, "Give check FILE." }, { "config check a b", "Give check FILE." },
				{ "config check " + NEXT + " --accelerators 0", "at least 1" },
				{ "config check " + NEXT + " --accelerators many", "whole number" },
				{ "config check no-such.json", "Correct the path." },
				{ "config check " + NEXT + " --against no-such.json", "Correct the path." } };
	}

	/** Guards against a wrong command line that is taken for a clean configuration. */
	@Test(dataProvider = "wrongLines")
	public void aWrongCommandLineOrFileExitsWithTwoAndARemedy(String line, String remedy) {
		CommandLineRun run = CommandLineRun.of(line.split(" "));
		assertThat(run.code()).isEqualTo(ExitCode.USAGE);
		assertThat(run.err()).contains(remedy);
		assertThat(run.out()).isEmpty();
	}

}
