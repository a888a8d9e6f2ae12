package io.verbenatrack.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Properties;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.MissingArgumentException;
import org.apache.commons.cli.MissingOptionException;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.UnrecognizedOptionException;

import io.verbenatrack.settings.EditDistance;

/**
 * Selects a command, parses its options and runs it.
 */
final class CommandLineTool {

	private final Console console;

	CommandLineTool(Console console) {
		this.console = console;
	}

	/**
	 * Runs a command line.
	 * @param args the arguments after the program name
	 * @return the exit code
	 */
	ExitCode run(String... args) {
		try {
			return dispatch(args);
		}
		catch (UsageException ex) {
			return this.console.fail(ex.problem(), ExitCode.USAGE);
		}
	}

	private ExitCode dispatch(String... args) throws UsageException {
		if (args.length == 0) {
			this.console.err().print(HelpText.overview());
			return ExitCode.USAGE;
		}
		switch (args[0]) {
			case "--help", "-h", "help" -> this.console.out().print(HelpText.overview());
			case "--version" -> this.console.out().println("verbenatrack " + version());
			default -> {
				return command(args);
			}
		}
		return ExitCode.DONE;
	}

	private ExitCode command(String... args) throws UsageException {
		Optional<Command> command = Commands.find(args[0]);
		if (command.isEmpty()) {
			throw new UsageException("There is no command '" + args[0] + "'.", nearest(args[0], Commands.names())
				.orElse("Commands: " + String.join(", ", Commands.names()) + "."));
		}
		List<String> rest = Arrays.asList(args).subList(1, args.length);
		if (rest.contains("--help") || rest.contains("-h")) {
			this.console.out().print(HelpText.of(command.get()));
			return ExitCode.DONE;
		}
		if (rest.contains("--version")) {
			this.console.out().println("verbenatrack " + version());
			return ExitCode.DONE;
		}
		CommandLine line = parse(command.get(), rest);
		checkPositionals(command.get(), line.getArgList());
		return command.get().run(line, this.console);
	}

	private static CommandLine parse(Command command, List<String> args) throws UsageException {
		Options options = command.options();
		DefaultParser parser = DefaultParser.builder().setAllowPartialMatching(false).get();
		String help = "Run 'verbenatrack " + command.name() + " --help'.";
		try {
			return parser.parse(options, args.toArray(String[]::new));
		}
		catch (UnrecognizedOptionException ex) {
			List<String> known = options.getOptions().stream().map((option) -> "--" + option.getLongOpt()).toList();
			throw new UsageException("There is no option '" + ex.getOption() + "' here.",
					nearest(ex.getOption(), known).orElse(help));
		}
		catch (MissingOptionException ex) {
			throw new UsageException("The option --" + String.join(", --", missing(options, args)) + " is missing.",
					help);
		}
		catch (MissingArgumentException ex) {
			throw new UsageException("The option --" + ex.getOption().getLongOpt() + " has no value.", help);
		}
		catch (ParseException ex) {
			throw new UsageException(ex.getMessage() + ".", help);
		}
	}

	private static List<String> missing(Options options, List<String> args) {
		return options.getOptions()
			.stream()
			.filter(Option::isRequired)
			.map(Option::getLongOpt)
			.filter((name) -> args.stream()
				.noneMatch((arg) -> arg.equals("--" + name) || arg.startsWith("--" + name + "=")))
			.toList();
	}

	private static void checkPositionals(Command command, List<String> found) throws UsageException {
		List<String> allowed = command.positionals();
		if (allowed.isEmpty() && !found.isEmpty()) {
			throw new UsageException("The word '" + found.getFirst() + "' has no place here.",
					"Run 'verbenatrack " + command.name() + " --help'.");
		}
		if (!allowed.isEmpty()
				&& (found.size() != 1 + command.operands().size() || !allowed.contains(found.getFirst()))) {
			throw new UsageException(
					"Found '" + String.join(" ", found) + "' after 'verbenatrack " + command.name() + "'.",
					remedy(command));
		}
	}

	private static String remedy(Command command) {
		String allowed = String.join(", ", command.positionals());
		return command.operands().isEmpty() ? "Give one of " + allowed + "."
				: "Give " + allowed + " " + String.join(" ", command.operands()) + ".";
	}

	private static Optional<String> nearest(String word, List<String> known) {
		return EditDistance.nearest(word, known).map((candidate) -> "Did you mean '" + candidate + "'?");
	}

	private static String version() {
		Properties properties = new Properties();
		try (InputStream stream = CommandLineTool.class.getResourceAsStream("version.properties")) {
			properties.load(stream);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return properties.getProperty("version");
	}

}
