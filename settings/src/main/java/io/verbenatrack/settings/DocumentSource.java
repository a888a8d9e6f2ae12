package io.verbenatrack.settings;

import io.verbenatrack.model.ProblemKind;

/**
 * Names where a document came from.
 *
 * @param name the file as the operator gave it, or the kind of request body
 * @param keyStyle how its keys are written
 */
record DocumentSource(String name, KeyStyle keyStyle) {

	/**
	 * Builds the error for a place in the document.
	 * @param line the line, from 1
	 * @param found what was found there
	 * @param remedy what to do
	 * @return the error
	 */
	InvalidDocumentException invalid(int line, String found, String remedy) {
		return new InvalidDocumentException(ProblemKind.INVALID, this.name + ":" + line + ": " + found, remedy);
	}

	/**
	 * Builds the error for the document as a whole.
	 * @param kind the kind
	 * @param found what was found
	 * @param remedy what to do
	 * @return the error
	 */
	InvalidDocumentException invalid(ProblemKind kind, String found, String remedy) {
		return new InvalidDocumentException(kind, this.name + ": " + found, remedy);
	}

}
