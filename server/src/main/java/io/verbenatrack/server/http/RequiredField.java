package io.verbenatrack.server.http;

/**
 * Checks required fields of a request body.
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
