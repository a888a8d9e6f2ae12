package io.verbenatrack.server.http;

/**
 * Checks fields that a body must have.
 */
final class RequiredField {

	private RequiredField() {
	}

	static int number(String name, Integer value) {
		if (value == null) {
			throw new IllegalArgumentException("The field " + name + " is missing. Add it as a whole number.");
		}
		return value;
	}

}
