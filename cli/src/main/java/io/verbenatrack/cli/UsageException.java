package io.verbenatrack.cli;

import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;

/**
 * Thrown when the command line, or a file that it names, is invalid.
 */
public final class UsageException extends Exception {

	private static final long serialVersionUID = 1L;

	private final transient Problem problem;

	/**
	 * Creates the exception.
	 * @param message the problem
	 * @param remedy how to correct it
	 */
	public UsageException(String message, String remedy) {
		super(message);
		this.problem = new Problem(ProblemKind.INVALID, message, remedy);
	}

	/**
	 * Returns the problem to report to the operator.
	 * @return the problem
	 */
	public Problem problem() {
		return this.problem;
	}

}
