package io.verbenatrack.settings;

import io.verbenatrack.model.ProblemKind;

/**
 * The origin of a document, used in error messages.
 *
 * @param name the file name as the operator gave it, or the kind of request body
 * @param keyStyle the case convention of its keys
 */
record DocumentSource(String name, KeyStyle keyStyle) {

	/**
	 * Creates the exception for a problem on one line of the document.
	 * @param line the line, from 1
	 * @param found what was found there
	 * @param remedy how to correct the document
	 * @return the exception
	 */
	InvalidDocumentException invalid(int line, String found, String remedy) {
		return new InvalidDocumentException(ProblemKind.INVALID, this.name + ":" + line + ": " + found, remedy);
	}

	/**
	 * Creates the exception for a problem with the document as a whole.
	 * @param kind the kind of problem
	 * @param found what was found
	 * @param remedy how to correct the document
	 * @return the exception
	 */
	InvalidDocumentException invalid(ProblemKind kind, String found, String remedy) {
		return new InvalidDocumentException(kind, this.name + ": " + found, remedy);
	}

}
