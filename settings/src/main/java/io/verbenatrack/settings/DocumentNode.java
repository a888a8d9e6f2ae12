package io.verbenatrack.settings;

import java.util.List;
import java.util.Map;

/**
 * A part of a parsed document that knows its line.
 */
sealed interface DocumentNode {

	/**
	 * Where the part starts.
	 * @return the line, from 1
	 */
	int line();

	/**
	 * Names the form of the part for messages.
	 * @return such as "a list"
	 */
	default String describe() {
		return switch (this) {
			case Scalar scalar -> "'" + PrintableText.abbreviate(scalar.text()) + "'";
			case Missing missing -> "no value";
			case Mapping mapping -> "a mapping";
			case Sequence sequence -> "a list";
		};
	}

	/**
	 * A single value as written.
	 *
	 * @param text the value without its quotes
	 * @param line where it starts
	 */
	record Scalar(String text, int line) implements DocumentNode {

	}

	/**
	 * A key without a value.
	 *
	 * @param line where the value was expected
	 */
	record Missing(int line) implements DocumentNode {

	}

	/**
	 * Values by key, in the order of the file.
	 *
	 * @param entries the values
	 * @param keyLines the line of each key
	 * @param line where it starts
	 */
	record Mapping(Map<String, DocumentNode> entries, Map<String, Integer> keyLines, int line) implements DocumentNode {

	}

	/**
	 * A list of values.
	 *
	 * @param items the values
	 * @param line where it starts
	 */
	record Sequence(List<DocumentNode> items, int line) implements DocumentNode {

	}

}
