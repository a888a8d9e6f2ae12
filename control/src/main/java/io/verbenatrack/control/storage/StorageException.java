package io.verbenatrack.control.storage;

import java.io.IOException;

/**
 * A file of the data folder cannot be used as it is; the message names the remedy.
 */
public final class StorageException extends IOException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what was found
	 * @param remedy what to do
	 */
	public StorageException(String message, String remedy) {
		super(message + " " + remedy);
	}

}
