package io.verbenatrack.routing;

/**
 * The result of a dispatch.
 */
public sealed interface AttemptResult {

	/**
	 * The whole answer was received, and its attempt id, length and digest are correct.
	 */
	record Answered() implements AttemptResult {

	}

	/**
	 * The target confirmed that it has not started this attempt and never will.
	 */
	record NotBegun() implements AttemptResult {

	}

	/**
	 * No byte of the request was sent.
	 *
	 * @param cause the cause, worded as a clause without a full stop
	 */
	record NotSent(String cause) implements AttemptResult {

	}

	/**
	 * Bytes of the request may have been sent, and no usable answer was received.
	 *
	 * @param cause the cause
	 */
	record Lost(LossCause cause) implements AttemptResult {

	}

}
