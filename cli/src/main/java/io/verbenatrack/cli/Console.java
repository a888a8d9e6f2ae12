package io.verbenatrack.cli;

import java.io.PrintStream;

import io.verbenatrack.model.Problem;

/**
 * Where a command writes.
 *
 * @param out takes what was asked for
 * @param err takes errors
 */
public record Console(PrintStream out, PrintStream err) {

	/**
	 * Reports a problem.
	 * @param problem what was found and what to do
	 * @param code how the command ends
	 * @return the same code
	 */
	public ExitCode fail(Problem problem, ExitCode code) {
		this.err.println("verbenatrack: " + problem.message());
		this.err.println("  " + problem.remedy());
		return code;
	}

}
