package io.verbenatrack.routing;

/**
 * The source of the body of an answer.
 */
public sealed interface AnswerSource {

	/**
	 * The transport holds the verified body, or the rest of a streamed body.
	 */
	record FromTarget() implements AnswerSource {

	}

	/**
	 * The claim store returned a stored answer.
	 *
	 * @param answer the stored answer
	 */
	record FromStore(KeptAnswer answer) implements AnswerSource {

	}

}
