package io.verbenatrack.routing;

/**
 * The progress of a dispatch, as the transport reports it.
 */
public enum AttemptStep {

	/** Bytes of the request head may have been sent. */
	HEAD_SENT("head-sent"),

	/** Bytes of the request body may have been sent. */
	BODY_HALF_SENT("body-half-sent"),

	/** The whole request was sent. */
	SENT("sent"),

	/** The head of the answer was received, with the attempt id of this dispatch. */
	ANSWER_HEAD("answer-head"),

	/** An answer too large to buffer is ready to be streamed to the caller. */
	ANSWER_HALF("answer-half");

	private final String event;

	AttemptStep(String event) {
		this.event = event;
	}

	/**
	 * Returns the event of the attempt state chart that this step triggers.
	 * @return the name of the event
	 */
	public String event() {
		return this.event;
	}

}
