package io.verbenatrack.model;

/**
 * A value, or the problem that prevented it.
 *
 * @param <T> the type of the value
 */
public sealed interface Result<T> {

	/**
	 * Wraps a value.
	 * @param <T> the type of the value
	 * @param value the value
	 * @return the result
	 */
	static <T> Result<T> success(T value) {
		return new Success<>(value);
	}

	/**
	 * Wraps a problem.
	 * @param <T> the type of the missing value
	 * @param kind the kind of problem
	 * @param message one sentence that describes the error
	 * @param remedy one sentence that tells the reader what to do
	 * @return the result
	 */
	static <T> Result<T> failure(ProblemKind kind, String message, String remedy) {
		return new Failure<>(new Problem(kind, message, remedy));
	}

	/**
	 * A value was produced.
	 *
	 * @param <T> the type of the value
	 * @param value the value
	 */
	record Success<T>(T value) implements Result<T> {

	}

	/**
	 * No value was produced.
	 *
	 * @param <T> the type of the missing value
	 * @param problem the problem that prevented the value
	 */
	record Failure<T>(Problem problem) implements Result<T> {

	}

}
