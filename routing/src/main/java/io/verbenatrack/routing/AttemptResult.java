package io.verbenatrack.routing;

/**
 * How a dispatch ended.
 */
public sealed interface AttemptResult {

	/**
	 * The whole answer came; its attempt id, length and digest were checked.
	 */
	record Answered() implements AttemptResult {

	}

	/**
	 * The target proved that it never began this attempt and never will.
	 */
	record NotBegun() implements AttemptResult {

	}

	/**
	 * No byte of the dispatch left.
	 *
	 * @param cause why, as part of a sentence
	 */
	record NotSent(String cause) implements AttemptResult {

	}

	/**
	 * Bytes may have left, and no usable answer came.
	 *
	 * @param cause why
	 */
	record Lost(LossCause cause) implements AttemptResult {

	}

}
