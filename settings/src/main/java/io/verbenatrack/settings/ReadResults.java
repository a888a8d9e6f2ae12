package io.verbenatrack.settings;

import java.util.function.Supplier;

import io.verbenatrack.model.Result;

/**
 * Turns the end of a reading into a result.
 */
final class ReadResults {

	private ReadResults() {
	}

	/**
	 * Reads a document.
	 * @param <T> the type of what is read
	 * @param read the reading
	 * @return the value, or the problem that ended the reading
	 */
	static <T> Result<T> capture(Supplier<T> read) {
		try {
			return Result.success(read.get());
		}
		catch (InvalidDocumentException ex) {
			return new Result.Failure<>(ex.problem());
		}
	}

}
