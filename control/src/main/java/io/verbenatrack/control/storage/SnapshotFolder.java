package io.verbenatrack.control.storage;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;

import com.google.protobuf.ByteString;

import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * The snapshot files of a data folder. Each consists of a length-delimited header
 * followed by the state.
 */
public final class SnapshotFolder {

	/** The format version that this program writes. */
	public static final int VERSION = 1;

	private static final String PREFIX = "snapshot-";

	private static final String SUFFIX = ".state";

	private static final String PARTIAL_SUFFIX = ".part";

	private static final int BUFFER_BYTES = 1 << 16;

	/** The latest snapshot, and the previous one for a transfer in progress. */
	private static final int RETAINED_SNAPSHOTS = 2;

	private final Path folder;

	/**
	 * Opens the snapshots of a folder.
	 * @param folder the data folder
	 */
	public SnapshotFolder(Path folder) {
		this.folder = folder;
	}

	/**
	 * Reads the header of the latest snapshot.
	 * @return the header; index 0 if there is none
	 * @throws IOException if it cannot be read or is of a newer format
	 */
	public SnapshotHeader latest() throws IOException {
		List<Path> files = DurableFiles.list(this.folder, PREFIX, SUFFIX);
		if (files.isEmpty()) {
			return SnapshotHeader.getDefaultInstance();
		}
		return header(files.get(files.size() - 1));
	}

	private static SnapshotHeader header(Path file) throws IOException {
		try (InputStream input = Files.newInputStream(file)) {
			SnapshotHeader header = SnapshotHeader.parseDelimitedFrom(input);
			requireKnownFormat(file, header);
			return header;
		}
	}

	private static void requireKnownFormat(Path file, SnapshotHeader header) throws StorageException {
		if (header == null || header.getFormat() == 0) {
			throw new StorageException("The snapshot " + file + " is damaged.",
					"Move the data folder away and start with an empty one; the other replicas fill it.");
		}
		if (header.getFormat() > VERSION) {
			throw new StorageException("The snapshot " + file + " has format " + header.getFormat()
					+ ", this program knows formats up to " + VERSION + ".", "Start the newer release that wrote it.");
		}
	}

	/**
	 * Writes a snapshot durably.
	 * @param baseHeader the header without format, length and checksum
	 * @param state the state
	 * @return the complete header
	 * @throws IOException if it cannot be written
	 */
	public SnapshotHeader save(SnapshotHeader baseHeader, SnapshotBuffer state) throws IOException {
		SnapshotHeader header = baseHeader.toBuilder()
			.setFormat(VERSION)
			.setLength(state.length())
			.setChecksum(state.checksum())
			.build();
		List<ByteBuffer> parts = new ArrayList<>();
		parts.add(ByteBuffer.wrap(encodeHeader(header)));
		parts.addAll(state.segments());
		DurableFiles.writeAtomically(fileOf(header), parts);
		deleteOldSnapshots();
		return header;
	}

	/**
	 * Opens the state of a snapshot, which the caller has to close.
	 * @param header the header of the snapshot
	 * @return the state
	 * @throws IOException if it is missing or damaged
	 */
	public InputStream open(SnapshotHeader header) throws IOException {
		Path file = fileOf(header);
		int start = encodeHeader(header).length;
		if (Files.size(file) - start != header.getLength() || checksum(file, start) != header.getChecksum()) {
			throw new StorageException("The snapshot " + file + " is damaged.",
					"Move the data folder away and start with an empty one; the other replicas fill it.");
		}
		return stateOf(file, start);
	}

	private static InputStream stateOf(Path file, int start) throws IOException {
		InputStream input = new BufferedInputStream(Files.newInputStream(file), BUFFER_BYTES);
		input.skipNBytes(start);
		return input;
	}

	private static int checksum(Path file, int start) throws IOException {
		CRC32C crc = new CRC32C();
		byte[] buffer = new byte[BUFFER_BYTES];
		try (InputStream input = stateOf(file, start)) {
			int count = input.read(buffer);
			while (count >= 0) {
				crc.update(buffer, 0, count);
				count = input.read(buffer);
			}
		}
		return (int) crc.getValue();
	}

	/**
	 * Reads a chunk of a snapshot.
	 * @param header the header of the snapshot
	 * @param offset the offset of the chunk in the state, in bytes
	 * @param bytes the maximum size of the chunk, in bytes
	 * @return the chunk, or empty if the snapshot no longer exists
	 * @throws IOException if it cannot be read
	 */
	public Optional<ByteString> readChunk(SnapshotHeader header, long offset, int bytes) throws IOException {
		Path file = fileOf(header);
		if (!Files.exists(file)) {
			return Optional.empty();
		}
		int length = (int) Math.min(bytes, header.getLength() - offset);
		return Optional.of(read(file, encodeHeader(header).length + offset, length));
	}

	/**
	 * Appends a chunk to a snapshot that another replica sends.
	 * @param header the header of the snapshot
	 * @param offset the offset of the chunk in the state, in bytes; the chunk is ignored
	 * unless it continues the data received so far
	 * @param data the chunk
	 * @return the offset of the next chunk; the length of the state once the snapshot is
	 * complete, verified and durable
	 * @throws IOException if it cannot be written
	 */
	public long writeChunk(SnapshotHeader header, long offset, ByteString data) throws IOException {
		requireKnownFormat(fileOf(header), header);
		if (Files.exists(fileOf(header))) {
			return header.getLength();
		}
		Path partial = this.folder.resolve(fileOf(header).getFileName() + "." + header.getChecksum() + PARTIAL_SUFFIX);
		byte[] encodedHeader = encodeHeader(header);
		long length = appendChunk(partial, encodedHeader, offset, data);
		if (length < header.getLength()) {
			return length;
		}
		// A loss of power may have torn parts that were received before it.
		if (!startsWith(partial, encodedHeader) || checksum(partial, encodedHeader.length) != header.getChecksum()) {
			Files.delete(partial);
			return 0;
		}
		DurableFiles.sync(partial);
		DurableFiles.moveIntoPlace(partial, fileOf(header));
		deleteOldSnapshots();
		return header.getLength();
	}

	private static boolean startsWith(Path file, byte[] prefix) throws IOException {
		try (InputStream input = Files.newInputStream(file)) {
			return Arrays.equals(input.readNBytes(prefix.length), prefix);
		}
	}

	// The header comes first, so that the complete file need not be written again.
	private static long appendChunk(Path partial, byte[] header, long offset, ByteString data) throws IOException {
		try (FileChannel channel = FileChannel.open(partial, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
			if (channel.size() < header.length) {
				DurableFiles.writeFully(channel, ByteBuffer.wrap(header));
			}
			if (channel.size() == header.length + offset) {
				channel.position(channel.size());
				DurableFiles.writeFully(channel, data.asReadOnlyByteBuffer());
			}
			return channel.size() - header.length;
		}
	}

	private void deleteOldSnapshots() throws IOException {
		List<Path> files = DurableFiles.list(this.folder, PREFIX, SUFFIX);
		for (Path file : files.subList(0, Math.max(0, files.size() - RETAINED_SNAPSHOTS))) {
			Files.delete(file);
		}
		for (Path part : DurableFiles.list(this.folder, PREFIX, PARTIAL_SUFFIX)) {
			Files.delete(part);
		}
	}

	private Path fileOf(SnapshotHeader header) {
		return this.folder.resolve(PREFIX + "%016d-%016d".formatted(header.getIndex(), header.getTerm()) + SUFFIX);
	}

	private static byte[] encodeHeader(SnapshotHeader header) throws IOException {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		header.writeDelimitedTo(output);
		return output.toByteArray();
	}

	private static ByteString read(Path file, long position, int length) throws IOException {
		ByteBuffer buffer = ByteBuffer.allocate(Math.max(0, length));
		try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
			int read = 0;
			while (buffer.hasRemaining() && read >= 0) {
				read = channel.read(buffer, position + buffer.position());
			}
		}
		return ByteString.copyFrom(buffer.flip());
	}

}
