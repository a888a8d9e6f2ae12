package io.verbenatrack.routing;

/**
 * The steps of a dispatch that the carriage reports while it goes on.
 */
public enum AttemptStep {

	/** Bytes of the head may have left. */
	HEAD_SENT("head-sent"),

	/** Bytes of the body may have left. */
	BODY_HALF_SENT("body-half-sent"),

	/** The whole request left. */
	SENT("sent"),

	/** The head of the answer came, with the right attempt id. */
	ANSWER_HEAD("answer-head"),

	/** A large answer is ready to be streamed to the caller. */
	ANSWER_HALF("answer-half");

	private final String event;

	AttemptStep(String event) {
		this.event = event;
	}

	/**
	 * The event of the attempt chart.
	 * @return its name
	 */
	public String event() {
		return this.event;
	}

}
