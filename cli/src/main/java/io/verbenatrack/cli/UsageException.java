package io.verbenatrack.cli;

import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;

/**
 * The command line, or a file that it names, is wrong.
 */
public final class UsageException extends Exception {

	private static final long serialVersionUID = 1L;

	private final transient Problem problem;

	/**
	 * Creates the exception.
	 * @param message what was found
	 * @param remedy what to do
	 */
	public UsageException(String message, String remedy) {
		super(message);
		this.problem = new Problem(ProblemKind.INVALID, message, remedy);
	}

	/**
	 * What to tell the operator.
	 * @return the problem
	 */
	public Problem problem() {
		return this.problem;
	}

}
