package io.verbenatrack.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import io.verbenatrack.cli.local.LocalOptions;
import io.verbenatrack.cli.local.LocalRunner;
import io.verbenatrack.cli.local.LocalSummary;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.Result;

/**
 * Runs a work file on one instance with stand-in workers and targets.
 */
record LocalRunCommand() implements Command {

	private static final String WORK = "work";

	private static final String DATA = "data";

	private static final String JSON = "json";

	@Override
	public String name() {
		return "local";
	}

	@Override
	public String summary() {
		return "Runs a work file on one instance with stand-in workers and targets, and prints a summary.";
	}

	@Override
	public Options options() {
		return new Options()
			.addOption(CommandOptions.required(CommandOptions.SETTINGS, "FILE", "settings of the instance"))
			.addOption(CommandOptions.required(WORK, "FILE", "fleet, jobs and requests"))
			.addOption(CommandOptions.optional(CommandOptions.DECLARATIONS, "DIR",
					"folder of declarations; 'declarations' beside the work file unless given"))
			.addOption(CommandOptions.optional(DATA, "DIR", "data folder; a temporary one unless given"))
			.addOption(CommandOptions.optional(JSON, "FILE", "file that gets the figures as JSON"));
	}

	@Override
	public List<String> examples() {
		return List.of("local --settings examples/hamid/instance.yaml --work examples/hamid/night.yaml",
				"local --settings examples/visina/instance.yaml --work examples/visina/day.yaml --json figures.json");
	}

	@Override
	public ExitCode run(CommandLine line, Console console) throws UsageException {
		Path work = Path.of(line.getOptionValue(WORK));
		Path declarations = Optional.ofNullable(line.getOptionValue(CommandOptions.DECLARATIONS))
			.map(Path::of)
			.orElseGet(() -> work.resolveSibling("declarations"));
		LocalOptions options = new LocalOptions(Path.of(line.getOptionValue(CommandOptions.SETTINGS)), work,
				declarations, path(line, DATA), path(line, JSON));
		return switch (LocalRunner.run(options, console.err())) {
			case Result.Failure<LocalSummary> failure -> console.fail(failure.problem(), code(failure.problem()));
			case Result.Success<LocalSummary> success -> print(success.value(), console);
		};
	}

	private static ExitCode print(LocalSummary summary, Console console) {
		console.out().print(summary.toText());
		if (summary.complete()) {
			return ExitCode.DONE;
		}
		return console
			.fail(new Problem(ProblemKind.UNKNOWN_OUTCOME, "Some of the work does not have exactly one outcome.",
					"Look for warnings above, and report it with the seed of the work file."), ExitCode.UNKNOWN);
	}

	private static ExitCode code(Problem problem) {
		return (problem.kind() != ProblemKind.UNAVAILABLE) ? ExitCode.USAGE : ExitCode.UNREACHABLE;
	}

	private static Optional<Path> path(CommandLine line, String option) {
		return Optional.ofNullable(line.getOptionValue(option)).map(Path::of);
	}

}
