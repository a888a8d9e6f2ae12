package io.verbenatrack.settings;

import java.util.Locale;

/**
 * The case convention of the keys of a document.
 */
enum KeyStyle {

	/** Kebab case, used in YAML files: checkpoint-grace. */
	KEBAB,

	/** Camel case, used in JSON: checkpointGrace. */
	CAMEL;

	/**
	 * Converts a key to this style.
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
