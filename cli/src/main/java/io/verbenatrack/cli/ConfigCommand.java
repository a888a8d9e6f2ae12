package io.verbenatrack.cli;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import io.verbenatrack.fleet.model.ConfigurationFinding;
import io.verbenatrack.fleet.model.ConfigurationReview;
import io.verbenatrack.fleet.model.FleetConfiguration;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.Result;
import io.verbenatrack.platform.ConfigurationFile;

/**
 * Checks a configuration of the fleet before an operator sends it, without calling an
 * instance.
 */
record ConfigCommand() implements Command {

	private static final String AGAINST = "against";

	private static final String ACCELERATORS = "accelerators";

	@Override
	public String name() {
		return "config";
	}

	@Override
	public String summary() {
		return "Checks a configuration of the users' platform before it is sent.";
	}

	@Override
	public Options options() {
		return new Options()
			.addOption(CommandOptions.optional(AGAINST, "FILE", "configuration in force, to show the differences"))
			.addOption(CommandOptions.optional(ACCELERATORS, "N", "accelerators of the fleet, to check guarantees"));
	}

	@Override
	public List<String> positionals() {
		return List.of("check");
	}

	@Override
	public List<String> operands() {
		return List.of("FILE");
	}

	@Override
	public List<String> examples() {
		return List.of("config check examples/platform/next.json",
				"config check examples/platform/next.json --against examples/platform/in-force.json --accelerators 64");
	}

	@Override
	public ExitCode run(CommandLine line, Console console) throws UsageException {
		OptionalLong accelerators = accelerators(line);
		String file = line.getArgList().getLast();
		FleetConfiguration configuration = read(file);
		Optional<FleetConfiguration> inForce = line.hasOption(AGAINST) ? Optional.of(read(line.getOptionValue(AGAINST)))
				: Optional.empty();
		List<ConfigurationFinding> findings = ConfigurationReview.review(configuration, inForce, accelerators);
		findings.forEach((finding) -> console.out().println(describe(finding)));
		console.out()
			.println(printable(file) + ": version: " + configuration.version() + ", queues: "
					+ configuration.queues().size() + ", services: " + configuration.pools().size()
					+ ", client accounts: " + configuration.accounts().size() + ", findings: " + findings.size());
		return findings.isEmpty() ? ExitCode.DONE : ExitCode.FINDINGS;
	}

	private static OptionalLong accelerators(CommandLine line) throws UsageException {
		if (!line.hasOption(ACCELERATORS)) {
			return OptionalLong.empty();
		}
		long accelerators = CommandOptions.number(line, ACCELERATORS, 0);
		if (accelerators < 1) {
			throw new UsageException("The option --" + ACCELERATORS + " has '" + accelerators + "'.",
					"Give a whole number of at least 1.");
		}
		return OptionalLong.of(accelerators);
	}

	private static FleetConfiguration read(String file) throws UsageException {
		try {
			return switch (ConfigurationFile.read(Path.of(file))) {
				case Result.Success<FleetConfiguration> success -> success.value();
				case Result.Failure<FleetConfiguration> failure -> throw new UsageException(
						printable(failure.problem().message()), printable(failure.problem().remedy()));
			};
		}
		catch (InvalidPathException ex) {
			throw new UsageException("'" + printable(file) + "' is not a path.", "Correct the path.");
		}
	}

	private static String describe(ConfigurationFinding finding) {
		return switch (finding) {
			case ConfigurationFinding.Invalid invalid -> describe("error", invalid.problem());
			case ConfigurationFinding.NeverMatches never -> describe("never matches", never.problem());
			case ConfigurationFinding.Contradiction contradiction -> describe("contradiction", contradiction.problem());
			case ConfigurationFinding.StaleVersion stale ->
				"version: The version " + stale.version() + " is not above the version in force, "
						+ stale.versionInForce() + ", so sending it changes nothing.\n  Give a higher version.";
			case ConfigurationFinding.Added added -> "added: " + printable(added.entry().toString());
			case ConfigurationFinding.Removed removed -> "removed: " + printable(removed.entry().toString());
			case ConfigurationFinding.Changed changed -> "changed: " + printable(
					changed.entry() + ": " + changed.field() + " from " + changed.inForce() + " to " + changed.value());
			case ConfigurationFinding.KeysChanged keys -> "changed: client account " + keys.account() + ": API keys: "
					+ keys.added() + " added, " + keys.removed() + " removed";
		};
	}

	private static String describe(String label, Problem problem) {
		return label + ": " + printable(problem.message()) + "\n  " + printable(problem.remedy());
	}

	/**
	 * Escapes characters that would control the terminal or hide a part of a name.
	 * @param text a text that may contain names of a file
	 * @return the text on one line
	 */
	private static String printable(String text) {
		StringBuilder printable = new StringBuilder();
		text.codePoints().forEach((character) -> {
			int type = Character.getType(character);
			if (type == Character.CONTROL || type == Character.FORMAT || type == Character.LINE_SEPARATOR
					|| type == Character.PARAGRAPH_SEPARATOR) {
				printable.append(String.format("\\u%04x", character));
			}
			else {
				printable.appendCodePoint(character);
			}
		});
		return printable.toString();
	}

}
