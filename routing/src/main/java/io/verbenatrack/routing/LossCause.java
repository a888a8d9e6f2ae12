package io.verbenatrack.routing;

/**
 * Why a dispatch that may have reached its target has no usable answer.
 */
public enum LossCause {

	/** The connection was closed or reset. */
	RESET("the connection broke"),

	/** No reply came in time. */
	SILENT("no reply came in time"),

	/** The answer was not HTTP, or had no usable head. */
	GARBAGE("the answer could not be read"),

	/** The length differed from the announced one. */
	WRONG_LENGTH("the answer had the wrong length"),

	/** The digest differed from the announced one. */
	WRONG_DIGEST("the answer did not match its digest"),

	/** The answer belonged to another attempt. */
	FOREIGN("the answer belonged to another attempt"),

	/** The target reported a failure of its own. */
	TARGET_ERROR("the target reported a failure"),

	/** This instance stopped waiting. */
	CANCELLED("this instance stopped waiting");

	private final String text;

	LossCause(String text) {
		this.text = text;
	}

	/**
	 * The cause in words.
	 * @return part of a sentence
	 */
	public String text() {
		return this.text;
	}

	/**
	 * Whether the target is to blame for it.
	 * @return whether it counts against the target
	 */
	public boolean countsAgainstTarget() {
		return this != CANCELLED;
	}

}
