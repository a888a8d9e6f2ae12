package io.verbenatrack.control.storage;

import java.io.IOException;

/**
 * Thrown when a file of the data folder cannot be used. The message includes the remedy.
 */
public final class StorageException extends IOException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message the cause
	 * @param remedy the remedy
	 */
	public StorageException(String message, String remedy) {
		super(message + " " + remedy);
	}

}
