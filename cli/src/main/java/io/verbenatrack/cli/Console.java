package io.verbenatrack.cli;

import java.io.PrintStream;

import io.verbenatrack.model.Problem;

/**
 * The output streams of a command.
 *
 * @param out the stream for results
 * @param err the stream for errors and progress
 */
public record Console(PrintStream out, PrintStream err) {

	/**
	 * Prints a problem to the error stream.
	 * @param problem the problem and its remedy
	 * @param code the exit code
	 * @return the given exit code
	 */
	public ExitCode fail(Problem problem, ExitCode code) {
		this.err.println("verbenatrack: " + problem.message());
		this.err.println("  " + problem.remedy());
		return code;
	}

}
