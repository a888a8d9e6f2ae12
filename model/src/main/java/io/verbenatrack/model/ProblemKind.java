package io.verbenatrack.model;

/**
 * The kinds of problems that the system reports.
 */
public enum ProblemKind {

	/** The caller's input is wrong. */
	INVALID(400),

	/** Nothing has that identifier. */
	NOT_FOUND(404),

	/** Somebody else came first. */
	CONFLICT(409),

	/** A size or count is over its limit. */
	TOO_LARGE(413),

	/** A limit on load was reached; nothing ran. */
	OVERLOADED(429),

	/** Nothing ran, since no instance or target can serve it now. */
	UNAVAILABLE(503),

	/** Nobody can say whether it ran. */
	UNKNOWN_OUTCOME(504);

	private final int httpStatus;

	ProblemKind(int httpStatus) {
		this.httpStatus = httpStatus;
	}

	/**
	 * The HTTP status that carries this kind.
	 * @return the status code
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

}
