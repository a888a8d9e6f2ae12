package io.verbenatrack.model;

/**
 * The outcome of a request as reported to the caller: answered, not run or unknown.
 *
 * @param <B> the type that carries the body of an answer
 */
public sealed interface RequestOutcome<B> {

	/**
	 * A target returned a complete answer.
	 *
	 * @param <B> the type that carries the body
	 * @param attempt the dispatch that was answered
	 * @param target the target that answered
	 * @param body the complete body, whose length and digest have been verified
	 */
	record Answered<B>(AttemptId attempt, TargetId target, B body) implements RequestOutcome<B> {

	}

	/**
	 * The request was not executed and will not be.
	 *
	 * @param <B> the type that carries the body
	 * @param reason the problem and its remedy
	 */
	record NotRun<B>(Problem reason) implements RequestOutcome<B> {

	}

	/**
	 * The request may have been executed.
	 *
	 * @param <B> the type that carries the body
	 * @param reason what is known, and how to ask for the outcome again
	 */
	record Unknown<B>(Problem reason) implements RequestOutcome<B> {

	}

}
