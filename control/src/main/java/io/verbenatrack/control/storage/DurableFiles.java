package io.verbenatrack.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/**
 * File operations whose results are durable once they have returned.
 */
final class DurableFiles {

	/** The suffix of a file that is not completely written yet. */
	static final String TEMPORARY_SUFFIX = ".tmp";

	private DurableFiles() {
	}

	static void syncDirectory(Path folder) throws IOException {
		try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
			channel.force(true);
		}
	}

	static void sync(Path file) throws IOException {
		try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
			channel.force(true);
		}
	}

	static void writeAtomically(Path file, List<ByteBuffer> parts) throws IOException {
		Path temporary = file.resolveSibling(file.getFileName() + TEMPORARY_SUFFIX);
		try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
				StandardOpenOption.TRUNCATE_EXISTING)) {
			for (ByteBuffer part : parts) {
				writeFully(channel, part);
			}
			channel.force(true);
		}
		moveIntoPlace(temporary, file);
	}

	static void moveIntoPlace(Path temporary, Path file) throws IOException {
		Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
		syncDirectory(file.getParent());
	}

	static void writeFully(FileChannel channel, ByteBuffer buffer) throws IOException {
		while (buffer.hasRemaining()) {
			channel.write(buffer);
		}
	}

	/**
	 * Lists the files of a folder by prefix and suffix.
	 * @param folder the folder
	 * @param prefix the prefix of the file names
	 * @param suffix the suffix of the file names
	 * @return the files, sorted by name
	 * @throws IOException if the folder cannot be read
	 */
	static List<Path> list(Path folder, String prefix, String suffix) throws IOException {
		try (Stream<Path> files = Files.list(folder)) {
			return files.filter((file) -> file.getFileName().toString().startsWith(prefix))
				.filter((file) -> file.getFileName().toString().endsWith(suffix))
				.sorted()
				.toList();
		}
	}

}
