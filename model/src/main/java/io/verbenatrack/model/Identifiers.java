package io.verbenatrack.model;

/**
 * Validates the text of identifiers.
 */
public final class Identifiers {

	/** The maximum length of an identifier, in characters. */
	public static final int MAXIMUM_LENGTH = 128;

	private Identifiers() {
	}

	/**
	 * Validates that the text is an identifier: 1 to {@value #MAXIMUM_LENGTH} letters,
	 * digits, dots, dashes, underscores or colons.
	 * @param kind what the identifier names, used in the message
	 * @param value the text
	 * @throws IllegalArgumentException if the text is not valid
	 */
	public static void requireValid(String kind, String value) {
		if (!isValid(value)) {
			throw new IllegalArgumentException("The " + kind + " identifier '" + abbreviate(value)
					+ "' is not valid. Use 1 to 128 letters, digits, '.', '-', '_' or ':'.");
		}
	}

	/**
	 * Whether the text is a valid identifier.
	 * @param value the text, may be null
	 * @return true if the text is valid
	 */
	public static boolean isValid(String value) {
		if (value == null || value.isEmpty() || value.length() > MAXIMUM_LENGTH) {
			return false;
		}
		return value.chars().allMatch(Identifiers::isAllowed);
	}

	private static boolean isAllowed(int character) {
		return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
				|| (character >= '0' && character <= '9') || ".-_:".indexOf(character) >= 0;
	}

	private static String abbreviate(String value) {
		if (value == null) {
			return "";
		}
		return (value.length() <= 40) ? value : value.substring(0, 40) + "...";
	}

}
