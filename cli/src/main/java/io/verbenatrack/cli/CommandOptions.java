package io.verbenatrack.cli;

import java.util.Optional;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

import io.verbenatrack.model.Result;

/**
 * Defines and reads options that several commands share.
 */
final class CommandOptions {

	static final String HELP = "help";

	static final String VERSION = "version";

	static final String SETTINGS = "settings";

	static final String DECLARATIONS = "declarations";

	static final String INSTANCES = "instances";

	static final String OUTPUT = "output";

	static final String JOB = "job";

	private CommandOptions() {
	}

	static Option required(String name, String argument, String description) {
		return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).required().get();
	}

	static Option optional(String name, String argument, String description) {
		return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
	}

	static Option flag(String name, String description) {
		return Option.builder().longOpt(name).desc(description).get();
	}

	/**
	 * Returns the options common to all commands that call an instance.
	 * @return the options
	 */
	static Options remote() {
		return new Options()
			.addOption(optional(INSTANCES, "host:port,...",
					"instances to call, the next one when one does not answer; "
							+ "otherwise VERBENATRACK_INSTANCES, or 127.0.0.1:8080"))
			.addOption(optional(OUTPUT, "text|json", "form of the output; text unless given"));
	}

	/**
	 * Reads the output format.
	 * @param line the parsed options
	 * @return the output format
	 * @throws UsageException when the value is invalid
	 */
	static OutputFormat output(CommandLine line) throws UsageException {
		String text = line.getOptionValue(OUTPUT, "text");
		return switch (text) {
			case "text" -> OutputFormat.TEXT;
			case "json" -> OutputFormat.JSON;
			default -> throw new UsageException("The option --output has '" + text + "'.", "Give text or json.");
		};
	}

	/**
	 * Returns the value of a successful result.
	 * @param <T> the type of the value
	 * @param result the result
	 * @return the value
	 * @throws UsageException when the result is a failure
	 */
	static <T> T valueOrUsageError(Result<T> result) throws UsageException {
		return switch (result) {
			case Result.Success<T> success -> success.value();
			case Result.Failure<T> failure ->
				throw new UsageException(failure.problem().message(), failure.problem().remedy());
		};
	}

	/**
	 * Reads a whole number.
	 * @param line the parsed options
	 * @param option the option
	 * @param fallback the value when the option is not given
	 * @return the number
	 * @throws UsageException when the value is invalid
	 */
	static long number(CommandLine line, String option, long fallback) throws UsageException {
		Optional<String> text = Optional.ofNullable(line.getOptionValue(option));
		try {
			return text.map(Long::parseLong).orElse(fallback);
		}
		catch (NumberFormatException ex) {
			throw new UsageException("The option --" + option + " has '" + text.orElse("") + "'.",
					"Give a whole number.");
		}
	}

}
