package io.verbenatrack.settings;

import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Reads the values of one mapping and validates their types and ranges.
 */
final class MappingReader {

	private final DocumentSource source;

	private final String path;

	private final DocumentNode.Mapping mapping;

	MappingReader(DocumentSource source, String path, DocumentNode.Mapping mapping) {
		this.source = source;
		this.path = path;
		this.mapping = mapping;
	}

	/**
	 * Rejects the mapping if it has a key that is not known.
	 * @param kebabKeys the known keys
	 * @return this reader
	 */
	MappingReader requireKnownKeys(String... kebabKeys) {
		List<String> known = Arrays.stream(kebabKeys).map(this::keyInStyle).toList();
		for (String key : this.mapping.entries().keySet()) {
			if (!known.contains(key)) {
				String nearest = EditDistance.nearest(key, known)
					.map((candidate) -> "Did you mean '" + candidate + "'?")
					.orElse("Known keys here: " + String.join(", ", known) + ".");
				throw this.source.invalid(this.mapping.keyLines().get(key),
						"The key '" + PrintableText.abbreviate(this.path + key) + "' is not known.", nearest);
			}
		}
		return this;
	}

	boolean has(String key) {
		return this.mapping.entries().containsKey(keyInStyle(key));
	}

	/**
	 * Returns the line of a key, or that of the mapping when the key is missing.
	 * @param key the key in kebab case
	 * @return the line, from 1
	 */
	int line(String key) {
		return this.mapping.keyLines().getOrDefault(keyInStyle(key), this.mapping.line());
	}

	String sourceName() {
		return this.source.name();
	}

	/**
	 * Creates the exception for an invalid key.
	 * @param key the key in kebab case
	 * @param found the predicate of a sentence whose subject is the key
	 * @param remedy how to correct the document
	 * @return the exception
	 */
	InvalidDocumentException invalid(String key, String found, String remedy) {
		return this.source.invalid(line(key), "The key '" + this.path + keyInStyle(key) + "' " + found, remedy);
	}

	String text(String key) {
		DocumentNode node = this.mapping.entries().get(keyInStyle(key));
		if (node == null) {
			throw invalid(key, "is missing.", "Add '" + keyInStyle(key) + ": ...'.");
		}
		if (!(node instanceof DocumentNode.Scalar scalar)) {
			throw invalid(key, "has " + node.describe() + ".", "Give it one value.");
		}
		return scalar.text();
	}

	Optional<String> optionalText(String key) {
		return has(key) ? Optional.of(text(key)) : Optional.empty();
	}

	<T> T identifier(String key, Function<String, T> type) {
		String text = text(key);
		return construct(key, () -> type.apply(text));
	}

	/**
	 * Constructs a value. The message of an {@link IllegalArgumentException} becomes the
	 * remedy of the problem.
	 * @param <T> the type of the value
	 * @param key the key to report on failure
	 * @param value constructs the value
	 * @return the value
	 */
	<T> T construct(String key, Supplier<T> value) {
		try {
			return value.get();
		}
		catch (IllegalArgumentException ex) {
			throw invalid(key, "is not valid.", ex.getMessage());
		}
	}

	int integer(String key, int fallback, int minimum, int maximum) {
		return has(key) ? integer(key, minimum, maximum) : fallback;
	}

	int integer(String key, int minimum, int maximum) {
		String text = text(key);
		String remedy = "Give a whole number from " + minimum + " to " + maximum + ".";
		try {
			int value = Integer.parseInt(text);
			if (value >= minimum && value <= maximum) {
				return value;
			}
		}
		catch (NumberFormatException ex) {
			throw invalidValue(key, text, remedy);
		}
		throw invalidValue(key, text, remedy);
	}

	long longInteger(String key) {
		String text = text(key);
		try {
			return Long.parseLong(text);
		}
		catch (NumberFormatException ex) {
			throw invalidValue(key, text, "Give a whole number.");
		}
	}

	double decimal(String key, double fallback, double minimum, double maximum) {
		if (!has(key)) {
			return fallback;
		}
		String text = text(key);
		String remedy = "Give a number from " + minimum + " to " + maximum + ".";
		try {
			double value = Double.parseDouble(text);
			if (value >= minimum && value <= maximum) {
				return value;
			}
		}
		catch (NumberFormatException ex) {
			throw invalidValue(key, text, remedy);
		}
		throw invalidValue(key, text, remedy);
	}

	boolean booleanValue(String key, boolean fallback) {
		if (!has(key)) {
			return fallback;
		}
		String text = text(key);
		return switch (text) {
			case "true" -> true;
			case "false" -> false;
			default -> throw invalidValue(key, text, "Write true or false.");
		};
	}

	Duration duration(String key, Duration fallback, Duration minimum, Duration maximum) {
		return has(key) ? duration(key, minimum, maximum) : fallback;
	}

	Duration duration(String key, Duration minimum, Duration maximum) {
		String text = text(key);
		Duration value = DurationFormat.parse(text).orElseThrow(() -> invalidValue(key, text, DurationFormat.REMEDY));
		if (value.compareTo(minimum) < 0 || value.compareTo(maximum) > 0) {
			throw invalidValue(key, text, "Give a duration from " + DurationFormat.format(minimum) + " to "
					+ DurationFormat.format(maximum) + ".");
		}
		return value;
	}

	long bytes(String key, long fallback, long minimum, long maximum) {
		if (!has(key)) {
			return fallback;
		}
		String text = text(key);
		long value = ByteSizeFormat.parse(text).orElseThrow(() -> invalidValue(key, text, ByteSizeFormat.REMEDY));
		if (value < minimum || value > maximum) {
			throw invalidValue(key, text, "Give a size from " + minimum + "B to " + maximum + "B.");
		}
		return value;
	}

	Instant instant(String key) {
		String text = text(key);
		try {
			return Instant.parse(text);
		}
		catch (DateTimeParseException ex) {
			throw invalidValue(key, text, "Write a time in UTC such as 2027-01-31T00:00:00Z.");
		}
	}

	<E extends Enum<E>> E enumValue(String key, E fallback) {
		if (!has(key)) {
			return fallback;
		}
		String text = text(key);
		E[] choices = fallback.getDeclaringClass().getEnumConstants();
		return Arrays.stream(choices)
			.filter((choice) -> lowerCase(choice).equals(text))
			.findFirst()
			.orElseThrow(() -> invalidValue(key, text, "Give one of "
					+ Arrays.stream(choices).map(MappingReader::lowerCase).collect(Collectors.joining(", ")) + "."));
	}

	SocketAddress address(String key) {
		String text = text(key);
		return SocketAddress.parse(text).orElseThrow(() -> invalidValue(key, text, SocketAddress.REMEDY));
	}

	/**
	 * Reads a nested mapping. A missing key is treated as an empty mapping.
	 * @param key the key in kebab case
	 * @return the reader of the nested mapping
	 */
	MappingReader mapping(String key) {
		DocumentNode node = this.mapping.entries().get(keyInStyle(key));
		if (node == null) {
			return new MappingReader(this.source, this.path + keyInStyle(key) + ".",
					new DocumentNode.Mapping(Map.of(), Map.of(), this.mapping.line()));
		}
		return nested(key, this.path + keyInStyle(key), node);
	}

	/**
	 * Reads a list of mappings. A missing key is treated as an empty list.
	 * @param key the key in kebab case
	 * @return a reader for each item
	 */
	List<MappingReader> mappings(String key) {
		List<DocumentNode> items = items(key);
		List<MappingReader> readers = new ArrayList<>(items.size());
		for (int i = 0; i < items.size(); i++) {
			readers.add(nested(key, this.path + keyInStyle(key) + "[" + i + "]", items.get(i)));
		}
		return readers;
	}

	/**
	 * Reads a list of scalar values. A missing key is treated as an empty list.
	 * @param key the key in kebab case
	 * @return the values as text
	 */
	List<String> textList(String key) {
		return items(key).stream().map((item) -> switch (item) {
			case DocumentNode.Scalar scalar -> scalar.text();
			default -> throw invalid(key, "lists " + item.describe() + ".", "List single values.");
		}).toList();
	}

	InvalidDocumentException invalidValue(String key, String text, String remedy) {
		return invalid(key, "has '" + PrintableText.abbreviate(text) + "'.", remedy);
	}

	private List<DocumentNode> items(String key) {
		DocumentNode node = this.mapping.entries().get(keyInStyle(key));
		return switch (node) {
			case null -> List.of();
			case DocumentNode.Sequence sequence -> sequence.items();
			default -> throw invalid(key, "has " + node.describe() + ".", "Give it a list.");
		};
	}

	private MappingReader nested(String key, String nestedPath, DocumentNode node) {
		if (!(node instanceof DocumentNode.Mapping nested)) {
			throw this.source.invalid(node.line(), "The key '" + nestedPath + "' has " + node.describe() + ".",
					"Give it 'key: value' lines.");
		}
		return new MappingReader(this.source, nestedPath + ".", nested);
	}

	private String keyInStyle(String kebabKey) {
		return this.source.keyStyle().format(kebabKey);
	}

	private static String lowerCase(Enum<?> choice) {
		return choice.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
