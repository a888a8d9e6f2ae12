package io.verbenatrack.control.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
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
	public SnapshotHeader save(SnapshotHeader baseHeader, byte[] state) throws IOException {
		SnapshotHeader header = baseHeader.toBuilder()
			.setFormat(VERSION)
			.setLength(state.length)
			.setChecksum(checksum(ByteBuffer.wrap(state)))
			.build();
		DurableFiles.writeAtomically(fileOf(header), ByteBuffer.wrap(encodeHeader(header)), ByteBuffer.wrap(state));
		deleteOldSnapshots();
		return header;
	}

	/**
	 * Reads the state of a snapshot.
	 * @param header the header of the snapshot
	 * @return the state
	 * @throws IOException if it is missing or damaged
	 */
	public byte[] load(SnapshotHeader header) throws IOException {
		byte[] state = read(fileOf(header), encodeHeader(header).length, (int) header.getLength());
		if (state.length != header.getLength() || checksum(ByteBuffer.wrap(state)) != header.getChecksum()) {
			throw new StorageException("The snapshot " + fileOf(header) + " is damaged.",
					"Move the data folder away and start with an empty one; the other replicas fill it.");
		}
		return state;
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
		return Optional.of(ByteString.copyFrom(read(file, encodeHeader(header).length + offset, length)));
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
		long length = appendChunk(partial, offset, data);
		if (length < header.getLength()) {
			return length;
		}
		byte[] state = Files.readAllBytes(partial);
		Files.delete(partial);
		if (checksum(ByteBuffer.wrap(state)) != header.getChecksum()) {
			return 0;
		}
		DurableFiles.writeAtomically(fileOf(header), ByteBuffer.wrap(encodeHeader(header)), ByteBuffer.wrap(state));
		deleteOldSnapshots();
		return header.getLength();
	}

	private static long appendChunk(Path partial, long offset, ByteString data) throws IOException {
		try (FileChannel channel = FileChannel.open(partial, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
				StandardOpenOption.APPEND)) {
			if (channel.size() == offset) {
				DurableFiles.writeFully(channel, data.asReadOnlyByteBuffer());
			}
			return channel.size();
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

	private static byte[] read(Path file, long position, int length) throws IOException {
		ByteBuffer buffer = ByteBuffer.allocate(Math.max(0, length));
		try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
			int read = 0;
			while (buffer.hasRemaining() && read >= 0) {
				read = channel.read(buffer, position + buffer.position());
			}
		}
		byte[] content = new byte[buffer.position()];
		buffer.flip().get(content);
		return content;
	}

	private static int checksum(ByteBuffer state) {
		CRC32C crc = new CRC32C();
		crc.update(state);
		return (int) crc.getValue();
	}

}
