package io.verbenatrack.settings;

import java.util.Locale;

/**
 * How the keys of a document are written.
 */
enum KeyStyle {

	/** As in files: checkpoint-grace. */
	KEBAB,

	/** As in JSON: checkpointGrace. */
	CAMEL;

	/**
	 * Writes a key in this style.
	 * @param kebabKey the key in kebab case
	 * @return the key in this style
	 */
	String format(String kebabKey) {
		return switch (this) {
			case KEBAB -> kebabKey;
			case CAMEL -> toCamel(kebabKey);
		};
	}

	private static String toCamel(String kebabKey) {
		String[] words = kebabKey.split("-");
		StringBuilder key = new StringBuilder(words[0]);
		for (int i = 1; i < words.length; i++) {
			key.append(words[i].substring(0, 1).toUpperCase(Locale.ROOT)).append(words[i].substring(1));
		}
		return key.toString();
	}

}
