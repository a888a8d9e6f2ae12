package io.verbenatrack.settings;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;

import io.verbenatrack.model.ProblemKind;

/**
 * Parses YAML and JSON into nodes that record their line numbers. Rejects duplicate keys,
 * aliases, several documents in one file, control characters and excessive size or
 * nesting.
 */
final class DocumentParser {

	/** The maximum size of a document, in bytes. */
	static final int MAXIMUM_BYTES = 1 << 20;

	private static final int MAXIMUM_DEPTH = 16;

	private static final int MAXIMUM_NODES = 200_000;

	private final DocumentSource source;

	private final JsonParser parser;

	private int nodes;

	private DocumentParser(DocumentSource source, JsonParser parser) {
		this.source = source;
		this.parser = parser;
	}

	/**
	 * Parses a YAML file.
	 * @param path the file
	 * @return a reader for the top-level mapping
	 * @throws InvalidDocumentException when the document is invalid
	 */
	static MappingReader yaml(Path path) {
		DocumentSource source = new DocumentSource(path.toString(), KeyStyle.KEBAB);
		return parse(source, new YAMLFactory(), text(source, bytes(source, path)));
	}

	/**
	 * Parses a YAML document in memory.
	 * @param name the name of the document in messages
	 * @param content the document, encoded in UTF-8
	 * @return a reader for the top-level mapping
	 * @throws InvalidDocumentException when the document is invalid
	 */
	static MappingReader yaml(String name, byte[] content) {
		DocumentSource source = new DocumentSource(name, KeyStyle.KEBAB);
		return parse(source, new YAMLFactory(), text(source, content));
	}

	/**
	 * Parses a JSON document in memory.
	 * @param name the name of the document in messages
	 * @param content the document, encoded in UTF-8
	 * @return a reader for the top-level mapping
	 * @throws InvalidDocumentException when the document is invalid
	 */
	static MappingReader json(String name, byte[] content) {
		DocumentSource source = new DocumentSource(name, KeyStyle.CAMEL);
		return parse(source, new JsonFactory(), text(source, content));
	}

	private static byte[] bytes(DocumentSource source, Path path) {
		if (Files.isDirectory(path)) {
			throw source.invalid(ProblemKind.INVALID, "This is a folder.", "Name a file in it.");
		}
		try (InputStream stream = Files.newInputStream(path)) {
			return stream.readNBytes(MAXIMUM_BYTES + 1);
		}
		catch (NoSuchFileException ex) {
			throw source.invalid(ProblemKind.NOT_FOUND, "There is no such file.", "Correct the path.");
		}
		catch (AccessDeniedException ex) {
			throw source.invalid(ProblemKind.INVALID, "The file may not be read.", "Grant read permission on it.");
		}
		catch (IOException ex) {
			throw source.invalid(ProblemKind.INVALID, "The file cannot be read.", "Check the disk and the path.");
		}
	}

	private static String text(DocumentSource source, byte[] content) {
		if (content.length > MAXIMUM_BYTES) {
			throw source.invalid(ProblemKind.TOO_LARGE, "The document is over " + MAXIMUM_BYTES + " bytes.",
					"Split it, or check that this is the right file.");
		}
		int line = 1;
		for (byte value : content) {
			if (value == '\n') {
				line++;
			}
			if (value >= 0 && value < ' ' && value != '\n' && value != '\r' && value != '\t') {
				throw source.invalid(line, "Found the control byte " + value + ".",
						"Give a text file in UTF-8; this looks like a binary file.");
			}
		}
		try {
			return StandardCharsets.UTF_8.newDecoder()
				.onMalformedInput(CodingErrorAction.REPORT)
				.onUnmappableCharacter(CodingErrorAction.REPORT)
				.decode(ByteBuffer.wrap(content))
				.toString();
		}
		catch (CharacterCodingException ex) {
			throw source.invalid(ProblemKind.INVALID, "The document is not text in UTF-8.",
					"Save it in UTF-8, or check that this is the right file.");
		}
	}

	private static MappingReader parse(DocumentSource source, JsonFactory factory, String text) {
		if (text.isBlank()) {
			throw source.invalid(1, "The document is empty.", "Write the keys that docs/OPERATIONS.md lists.");
		}
		try (JsonParser parser = factory.createParser(text)) {
			return new DocumentParser(source, parser).document();
		}
		catch (JsonProcessingException ex) {
			int line = (ex.getLocation() != null) ? Math.max(1, ex.getLocation().getLineNr()) : 1;
			throw source.invalid(line,
					"This is not well-formed: " + PrintableText.abbreviate(ex.getOriginalMessage()) + ".",
					"Correct the indentation, quotes or brackets at that line.");
		}
		catch (IOException | IllegalArgumentException | IllegalStateException | IndexOutOfBoundsException ex) {
			throw source.invalid(ProblemKind.INVALID, "This is not well-formed.",
					"Compare it with the examples folder.");
		}
		catch (InvalidDocumentException ex) {
			throw ex;
		}
		catch (RuntimeException ex) {
			throw source.invalid(ProblemKind.INVALID, "This is not well-formed.",
					"Compare it with the examples folder.");
		}
	}

	private MappingReader document() throws IOException {
		if (this.parser.nextToken() == null) {
			throw this.source.invalid(1, "The document is empty.", "Write the keys that docs/OPERATIONS.md lists.");
		}
		DocumentNode node = node(0);
		if (this.parser.nextToken() != null) {
			throw this.source.invalid(line(), "A second document starts here.", "Keep one document in a file.");
		}
		if (!(node instanceof DocumentNode.Mapping mapping)) {
			throw this.source.invalid(node.line(), "Found " + node.describe() + " at the top.",
					"Start with 'key: value' lines.");
		}
		return new MappingReader(this.source, "", mapping);
	}

	private DocumentNode node(int depth) throws IOException {
		checkBounds(depth);
		int line = line();
		return switch (this.parser.currentToken()) {
			case START_OBJECT -> mapping(line, depth);
			case START_ARRAY -> sequence(line, depth);
			case VALUE_NULL -> new DocumentNode.Missing(line);
			default -> new DocumentNode.Scalar(this.parser.getText(), line);
		};
	}

	private void checkBounds(int depth) throws IOException {
		if (this.parser instanceof YAMLParser yaml && (yaml.isCurrentAlias() || yaml.getObjectId() != null)) {
			throw this.source.invalid(line(), "Found an anchor or alias.", "Write the value out; aliases are refused.");
		}
		if (depth > MAXIMUM_DEPTH) {
			throw this.source.invalid(line(), "The nesting is over " + MAXIMUM_DEPTH + " levels deep.",
					"Flatten it as in the examples folder.");
		}
		this.nodes++;
		if (this.nodes > MAXIMUM_NODES) {
			throw this.source.invalid(line(), "There are over " + MAXIMUM_NODES + " values.", "Split the document.");
		}
	}

	private DocumentNode.Mapping mapping(int line, int depth) throws IOException {
		Map<String, DocumentNode> entries = new LinkedHashMap<>();
		Map<String, Integer> keyLines = new LinkedHashMap<>();
		while (this.parser.nextToken() == JsonToken.FIELD_NAME) {
			String key = this.parser.currentName();
			int keyLine = line();
			Integer earlier = keyLines.putIfAbsent(key, keyLine);
			if (earlier != null) {
				throw this.source.invalid(keyLine,
						"The key '" + PrintableText.abbreviate(key) + "' stands twice, first at line " + earlier + ".",
						"Keep one of them.");
			}
			this.parser.nextToken();
			entries.put(key, node(depth + 1));
		}
		return new DocumentNode.Mapping(entries, keyLines, line);
	}

	private DocumentNode.Sequence sequence(int line, int depth) throws IOException {
		List<DocumentNode> items = new ArrayList<>();
		while (this.parser.nextToken() != JsonToken.END_ARRAY) {
			items.add(node(depth + 1));
		}
		return new DocumentNode.Sequence(items, line);
	}

	private int line() {
		return Math.max(1, this.parser.currentTokenLocation().getLineNr());
	}

}
