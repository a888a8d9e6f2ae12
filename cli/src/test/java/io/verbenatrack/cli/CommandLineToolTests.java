package io.verbenatrack.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CommandLineTool}.
 */
public class CommandLineToolTests {

	@DataProvider
	public Object[][] usageErrors() {
		return new Object[][] { { "chekc", "There is no command 'chekc'.", "Did you mean 'check'?" },
				{ "check", "Nothing to check was given.", "Give --settings FILE" },
				{ "check --setings x", "There is no option '--setings' here.", "Did you mean '--settings'?" },
				{ "check --settings", "The option --settings has no value.", "check --help" },
				{ "check --settings no-such.yaml", "no-such.yaml: There is no such file.", "Correct the path." },
				{ "check --settings x y", "The word 'y' has no place here.", "check --help" },
				{ "apply --declarations x --change-id c", "The option --expected-revision is missing.",
						"apply --help" },
				{ "apply --declarations x --change-id c --expected-revision z", "has 'z'.", "whole number" },
				{ "apply --declarations x --change-id c/d --expected-revision 1", "--change-id 'c/d'", "letters" },
				{ "view", "Found '' after 'verbenatrack view'.", "Give one of fleet, jobs, accounts, configuration." },
				{ "view racks", "Found 'racks' after", "Give one of fleet" },
				{ "view fleet --output xml", "The option --output has 'xml'.", "Give text or json." },
				{ "view fleet --instances nowhere", "The instance 'nowhere' is not an address.", "host:port" },
				{ "status --job a/b", "The job 'a/b' is not valid.", "letters" },
				{ "submit --job j --account a --class c --accelerators 65 --run-time 1m", "The job is not valid.",
						"Ask for 1 to 64." },
				{ "submit --job j --account a --class c --accelerators 4 --run-time 1", "--run-time has '1'.",
						"unit" } };
	}

	@Test(dataProvider = "usageErrors")
	public void aUsageErrorExitsWithCodeTwoAndARemedy(String line, String found, String remedy) {
		CommandLineRun run = CommandLineRun.of(line.split(" "));
		assertThat(run.code()).isEqualTo(ExitCode.USAGE);
		assertThat(run.err()).contains(found).contains(remedy).doesNotContain("Exception");
		assertThat(run.out()).isEmpty();
	}

	@Test
	public void withoutCommandTheHelpIsShownAsAUsageError() {
		CommandLineRun run = CommandLineRun.of();
		assertThat(run.code()).isEqualTo(ExitCode.USAGE);
		assertThat(run.err()).contains("Usage: verbenatrack COMMAND");
	}

	@Test
	public void everyCommandHasHelpWithItsOptionsAndExamples() {
		for (Command command : Commands.ALL) {
			CommandLineRun run = CommandLineRun.of(command.name(), "--help");
			assertThat(run.code()).isEqualTo(ExitCode.DONE);
			assertThat(run.out()).contains(command.summary()).contains("Examples:\n  verbenatrack " + command.name());
			command.options().getOptions().forEach((option) -> assertThat(run.out()).contains(option.getLongOpt()));
			assertThat(CommandLineRun.of("--help").out()).contains("  " + command.name() + " ");
		}
	}

	@Test
	public void everyCommandShowsTheVersion() {
		for (Command command : Commands.ALL) {
			assertThat(CommandLineRun.of(command.name(), "--version").out())
				.matches("verbenatrack \\d+\\.\\d+\\.\\d+\n");
		}
		assertThat(CommandLineRun.of("--version").out()).matches("verbenatrack \\d+\\.\\d+\\.\\d+\n");
	}

	@Test
	public void everyExampleParses() {
		for (Command command : Commands.ALL) {
			for (String example : command.examples()) {
				String[] words = (example + " --no-such-option").split(" ");
				assertThat(CommandLineRun.of(words).err()).as(example).contains("'--no-such-option'");
			}
		}
	}

	@Test
	public void checkAcceptsTheExamples() {
		Path examples = CommandLineRun.root().resolve("examples");
		for (String example : new String[] { "hamid", "visina" }) {
			CommandLineRun run = CommandLineRun.of("check", "--settings", examples + "/" + example + "/instance.yaml",
					"--declarations", examples + "/" + example + "/declarations");
			assertThat(run.code()).as(run.err()).isEqualTo(ExitCode.DONE);
			assertThat(run.out()).contains("4 client accounts");
		}
	}

	@Test
	public void theDocsListEveryCommandOptionAndExitCode() throws IOException {
		String page = Files.readString(CommandLineRun.root().resolve("docs/CLI.md"));
		for (Command command : Commands.ALL) {
			assertThat(page).contains("## " + command.name());
			command.options().getOptions().forEach((option) -> assertThat(page).contains("`--" + option.getLongOpt()));
		}
		Arrays.stream(ExitCode.values())
			.forEach((code) -> assertThat(page).contains("| " + code.status() + " | " + code.name() + " |"));
	}

	@Test
	public void aMissingLogFileIsAUsageError() {
		CommandLineRun run = CommandLineRun.of("explain", "--id", "job-1", "--logs", "no-such-file.log");
		assertThat(run.code()).isEqualTo(ExitCode.USAGE);
		assertThat(run.err()).contains("no-such-file.log");
	}

}
