package io.verbenatrack.cli;

import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * A command of the command line interface.
 */
sealed interface Command permits LocalRunCommand, ServeCommand, CheckCommand, DiffCommand, ApplyCommand, SubmitCommand,
		CancelCommand, StatusCommand, ViewCommand, BenchCommand, ExplainCommand, ConfigCommand {

	/**
	 * Returns the name that selects this command.
	 * @return the name
	 */
	String name();

	/**
	 * Returns a summary of what this command does.
	 * @return one sentence
	 */
	String summary();

	/**
	 * Returns the options of this command, other than --help and --version.
	 * @return the options
	 */
	Options options();

	/**
	 * Returns examples of usage.
	 * @return complete command lines without the program name
	 */
	List<String> examples();

	/**
	 * Returns the allowed values of the positional argument.
	 * @return the allowed values; exactly one must be given, or no argument when empty
	 */
	default List<String> positionals() {
		return List.of();
	}

	/**
	 * Returns the names of further arguments that must follow the positional argument.
	 * @return the names, in order; empty when there are none
	 */
	default List<String> operands() {
		return List.of();
	}

	/**
	 * Runs the command.
	 * @param line its parsed options
	 * @param console the output streams
	 * @return the exit code
	 * @throws UsageException when an option, or a file that an option names, is invalid
	 */
	ExitCode run(CommandLine line, Console console) throws UsageException;

}
