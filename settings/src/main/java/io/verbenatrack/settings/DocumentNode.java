package io.verbenatrack.settings;

import java.util.List;
import java.util.Map;

/**
 * A node of a parsed document, with its line number.
 */
sealed interface DocumentNode {

	/**
	 * Returns the line on which this node starts.
	 * @return the line, from 1
	 */
	int line();

	/**
	 * Describes this node for error messages.
	 * @return the description, such as "a list"
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
	 * A scalar value.
	 *
	 * @param text the text of the value without quotes
	 * @param line the line on which it starts
	 */
	record Scalar(String text, int line) implements DocumentNode {

	}

	/**
	 * A key without a value.
	 *
	 * @param line the line on which the value was expected
	 */
	record Missing(int line) implements DocumentNode {

	}

	/**
	 * A mapping of keys to values, in document order.
	 *
	 * @param entries the values
	 * @param keyLines the line of each key
	 * @param line the line on which it starts
	 */
	record Mapping(Map<String, DocumentNode> entries, Map<String, Integer> keyLines, int line) implements DocumentNode {

	}

	/**
	 * A list of values.
	 *
	 * @param items the values
	 * @param line the line on which it starts
	 */
	record Sequence(List<DocumentNode> items, int line) implements DocumentNode {

	}

}
