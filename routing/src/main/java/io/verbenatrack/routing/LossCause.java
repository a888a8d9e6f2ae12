package io.verbenatrack.routing;

/**
 * The cause of a dispatch without a usable answer that may have reached its target.
 */
public enum LossCause {

	/** The connection was closed or reset. */
	RESET("the connection broke"),

	/** The target did not reply in time. */
	SILENT("no reply came in time"),

	/** The answer was not valid HTTP or had no usable head. */
	GARBAGE("the answer could not be read"),

	/** The length of the body differed from the announced length. */
	WRONG_LENGTH("the answer had the wrong length"),

	/** The digest of the body differed from the announced digest. */
	WRONG_DIGEST("the answer did not match its digest"),

	/** The answer carried the id of another attempt. */
	FOREIGN("the answer belonged to another attempt"),

	/** The target reported an internal failure. */
	TARGET_ERROR("the target reported a failure"),

	/** This instance cancelled the dispatch. */
	CANCELLED("this instance stopped waiting");

	private final String description;

	LossCause(String description) {
		this.description = description;
	}

	/**
	 * Returns the cause for use in a problem message.
	 * @return a clause without a full stop
	 */
	public String description() {
		return this.description;
	}

	/**
	 * Returns whether outlier detection counts this cause as a failure of the target.
	 * @return {@code false} only when this instance cancelled the dispatch
	 */
	public boolean countsAgainstTarget() {
		return this != CANCELLED;
	}

}
