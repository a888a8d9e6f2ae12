package io.verbenatrack.settings;

/**
 * Sanitizes untrusted text for use in messages.
 */
final class PrintableText {

	private static final int MAXIMUM_SHOWN_CHARACTERS = 60;

	private PrintableText() {
	}

	/**
	 * Truncates a text and replaces its control characters by spaces.
	 * @param text the text
	 * @return one printable line
	 */
	static String abbreviate(String text) {
		String start = (text.length() <= MAXIMUM_SHOWN_CHARACTERS) ? text
				: text.substring(0, MAXIMUM_SHOWN_CHARACTERS) + "...";
		StringBuilder printable = new StringBuilder(start.length());
		start.chars()
			.forEach((character) -> printable.append(Character.isISOControl(character) ? ' ' : (char) character));
		return printable.toString();
	}

}
