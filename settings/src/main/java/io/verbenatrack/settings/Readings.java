package io.verbenatrack.settings;

import java.util.function.Supplier;

import io.verbenatrack.model.Result;

/**
 * Turns the end of a reading into a result.
 */
final class Readings {

	private Readings() {
	}

	/**
	 * Reads a document.
	 * @param <T> the type of what is read
	 * @param reading the reading
	 * @return the value, or the problem that ended the reading
	 */
	static <T> Result<T> result(Supplier<T> reading) {
		try {
			return Result.success(reading.get());
		}
		catch (InvalidDocumentException ex) {
			return new Result.Failure<>(ex.problem());
		}
	}

}
