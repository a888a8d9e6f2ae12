package io.verbenatrack.settings;

import java.util.function.Supplier;

import io.verbenatrack.model.Result;

/**
 * Converts the outcome of reading a document to a {@link Result}.
 */
final class ReadResults {

	private ReadResults() {
	}

	/**
	 * Calls a reader and captures an {@link InvalidDocumentException} as a failure.
	 * @param <T> the type of the value
	 * @param read the reader
	 * @return the value, or the problem that the reader reported
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
