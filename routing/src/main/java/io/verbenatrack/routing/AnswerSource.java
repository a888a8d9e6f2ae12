package io.verbenatrack.routing;

/**
 * Where the body of an answer is taken from.
 */
public sealed interface AnswerSource {

	/**
	 * The carriage holds the checked body, or the rest of a streamed one.
	 */
	record Carried() implements AnswerSource {

	}

	/**
	 * The claim store kept it.
	 *
	 * @param answer the kept answer
	 */
	record FromStore(KeptAnswer answer) implements AnswerSource {

	}

}
