package io.verbenatrack.model;

/**
 * The kinds of problems that the system reports.
 */
public enum ProblemKind {

	/** The caller's input is not valid. */
	INVALID(400),

	/** No resource has the given identifier. */
	NOT_FOUND(404),

	/** The call conflicts with an earlier one. */
	CONFLICT(409),

	/** A size or count exceeds its limit. */
	TOO_LARGE(413),

	/** A load limit was reached, so nothing was executed. */
	OVERLOADED(429),

	/**
	 * Nothing was executed, because no instance or target can serve the call at the
	 * moment.
	 */
	UNAVAILABLE(503),

	/** It cannot be determined whether the call was executed. */
	UNKNOWN_OUTCOME(504);

	private final int httpStatus;

	ProblemKind(int httpStatus) {
		this.httpStatus = httpStatus;
	}

	/**
	 * Returns the HTTP status code that represents this kind.
	 * @return the status code
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

}
