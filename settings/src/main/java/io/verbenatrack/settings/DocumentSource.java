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
	 * @param description the problem on that line
	 * @param remedy how to correct the document
	 * @return the exception
	 */
	InvalidDocumentException invalid(int line, String description, String remedy) {
		return new InvalidDocumentException(ProblemKind.INVALID, this.name + ":" + line + ": " + description, remedy);
	}

	/**
	 * Creates the exception for a problem with the document as a whole.
	 * @param kind the kind of problem
	 * @param description the problem
	 * @param remedy how to correct the document
	 * @return the exception
	 */
	InvalidDocumentException invalid(ProblemKind kind, String description, String remedy) {
		return new InvalidDocumentException(kind, this.name + ": " + description, remedy);
	}

}
