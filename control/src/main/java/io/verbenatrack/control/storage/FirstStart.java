package io.verbenatrack.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Records whether the settings named an instance as an initial member when its data
 * folder was first used, since later settings may name instances that were added.
 */
public final class FirstStart {

	private static final String FILE = "first-start";

	private static final String NAMED = "named";

	private static final String NOT_NAMED = "not-named";

	private FirstStart() {
	}

	/**
	 * Returns the record of a data folder, which is written at the first start.
	 * @param folder the data folder, locked by this process
	 * @param namedNow whether the settings name this instance now
	 * @return whether they named it at the first start
	 * @throws IOException if the record cannot be read or written, or is not valid; the
	 * message of the latter includes the remedy
	 */
	public static boolean named(Path folder, boolean namedNow) throws IOException {
		Path file = folder.resolve(FILE);
		if (!Files.exists(file)) {
			String text = namedNow ? NAMED : NOT_NAMED;
			DurableFiles.writeAtomically(file, List.of(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8))));
			return namedNow;
		}
		return switch (Files.readString(file)) {
			case NAMED -> true;
			case NOT_NAMED -> false;
			default -> throw new StorageException("The file " + file + " is damaged.",
					"Replace the disk and start this instance with an empty data folder.");
		};
	}

}
