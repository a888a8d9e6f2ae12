package io.verbenatrack.model;

/**
 * What a caller is told of a request; exactly one of three.
 *
 * @param <B> the type that carries the body of an answer
 */
public sealed interface RequestOutcome<B> {

	/**
	 * The whole answer of a target.
	 *
	 * @param <B> the type that carries the body
	 * @param attempt the dispatch that was answered
	 * @param target who answered
	 * @param body the whole body, its length and digest checked
	 */
	record Answered<B>(AttemptId attempt, TargetId target, B body) implements RequestOutcome<B> {

	}

	/**
	 * The request never ran and never will.
	 *
	 * @param <B> the type that carries the body
	 * @param reason why, with the remedy
	 */
	record NotRun<B>(Problem reason) implements RequestOutcome<B> {

	}

	/**
	 * The request may have run.
	 *
	 * @param <B> the type that carries the body
	 * @param reason what is known, with the way to ask again
	 */
	record Unknown<B>(Problem reason) implements RequestOutcome<B> {

	}

}
