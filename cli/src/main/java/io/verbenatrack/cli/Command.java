package io.verbenatrack.cli;

import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * One command of the command line.
 */
sealed interface Command permits LocalRunCommand, ServeCommand, CheckCommand, DiffCommand, ApplyCommand, SubmitCommand,
		CancelCommand, StatusCommand, ViewCommand, BenchCommand, ExplainCommand {

	/**
	 * The word that selects the command.
	 * @return the name
	 */
	String name();

	/**
	 * What the command does.
	 * @return one sentence
	 */
	String summary();

	/**
	 * The options it takes beside --help and --version.
	 * @return the options
	 */
	Options options();

	/**
	 * How it is used.
	 * @return whole command lines without the program's name
	 */
	List<String> examples();

	/**
	 * The words it takes after its options.
	 * @return the allowed words; exactly one of them must be given, or none when empty
	 */
	default List<String> positionals() {
		return List.of();
	}

	/**
	 * Runs the command.
	 * @param line its parsed options
	 * @param console where it writes
	 * @return how it ended
	 * @throws UsageException when an option or a file that it names is wrong
	 */
	ExitCode run(CommandLine line, Console console) throws UsageException;

}
