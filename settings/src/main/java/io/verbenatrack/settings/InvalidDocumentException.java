package io.verbenatrack.settings;

import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;

/**
 * Thrown when a document is invalid. {@link ReadResults} converts it to a
 * {@code Result.Failure}, so it never leaves this package.
 */
final class InvalidDocumentException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final transient Problem problem;

	InvalidDocumentException(ProblemKind kind, String message, String remedy) {
		super(message, null, false, false);
		this.problem = new Problem(kind, message, remedy);
	}

	Problem problem() {
		return this.problem;
	}

}
