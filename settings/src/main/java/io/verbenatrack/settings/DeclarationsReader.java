package io.verbenatrack.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.Result;

/**
 * Reads a directory of YAML files as one revision of the declarations.
 */
public final class DeclarationsReader {

	private static final int MAXIMUM_FILES = 1000;

	private DeclarationsReader() {
	}

	/**
	 * Reads all files in the folder whose names end in .yaml or .yml, sorted by path.
	 * @param folder the directory
	 * @return the declarations, or the first problem found, with its file, line and key
	 */
	public static Result<Declarations> read(Path folder) {
		return ReadResults.capture(() -> declarations(folder));
	}

	private static Declarations declarations(Path folder) {
		DeclarationsBuilder builder = new DeclarationsBuilder();
		for (Path file : files(folder)) {
			builder.add(DocumentParser.yaml(file));
		}
		return builder.build();
	}

	private static List<Path> files(Path folder) {
		DocumentSource source = new DocumentSource(folder.toString(), KeyStyle.KEBAB);
		if (!Files.isDirectory(folder)) {
			throw source.invalid(ProblemKind.NOT_FOUND, "There is no such folder.",
					"Name the folder that holds the declarations.");
		}
		List<Path> files = new ArrayList<>();
		try (Stream<Path> entries = Files.list(folder)) {
			entries.filter(DeclarationsReader::isDeclarationsFile)
				.sorted()
				.limit(MAXIMUM_FILES + 1)
				.forEach(files::add);
		}
		catch (IOException ex) {
			throw source.invalid(ProblemKind.INVALID, "The folder cannot be read.", "Grant read permission on it.");
		}
		if (files.isEmpty()) {
			throw source.invalid(ProblemKind.INVALID, "The folder holds no file that ends in .yaml.",
					"Add the declarations, as in examples/hamid/declarations.");
		}
		if (files.size() > MAXIMUM_FILES) {
			throw source.invalid(ProblemKind.TOO_LARGE, "The folder holds over " + MAXIMUM_FILES + " files.",
					"Merge some of them.");
		}
		return files;
	}

	private static boolean isDeclarationsFile(Path file) {
		String name = file.getFileName().toString();
		return !name.startsWith(".") && (name.endsWith(".yaml") || name.endsWith(".yml"));
	}

}
