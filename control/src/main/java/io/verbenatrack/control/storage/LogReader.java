package io.verbenatrack.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.Consumer;

import com.google.protobuf.InvalidProtocolBufferException;

import io.verbenatrack.protocol.control.LogRecord;

/**
 * Reads a log file. A tail torn by a crash is discarded; damage before the tail is an
 * error.
 */
final class LogReader {

	private static final long NO_RECORD = -1;

	private LogReader() {
	}

	/**
	 * Reads all complete records.
	 * @param file the log file
	 * @param records receives each record
	 * @return the size of the discarded tail, in bytes
	 * @throws StorageException if the file is damaged before its tail
	 * @throws IOException if the file cannot be read
	 */
	static long read(Path file, Consumer<LogRecord> records) throws IOException {
		ByteBuffer buffer = load(file);
		LogFormat.requireHeader(file, buffer);
		while (buffer.hasRemaining()) {
			int start = buffer.position();
			if (syncedBytesOfRecordAt(buffer, start) == NO_RECORD) {
				requireTornTail(file, buffer, start);
				return buffer.limit() - start;
			}
			int length = buffer.getInt(start);
			ByteBuffer message = buffer.slice(start + LogFormat.RECORD_HEADER_BYTES, length);
			records.accept(parse(file, start, message));
			buffer.position(start + LogFormat.RECORD_HEADER_BYTES + length);
		}
		return 0;
	}

	private static ByteBuffer load(Path file) throws IOException {
		try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
			ByteBuffer buffer = ByteBuffer.allocate(Math.toIntExact(Files.size(file)));
			int read = 0;
			while (buffer.hasRemaining() && read >= 0) {
				read = channel.read(buffer);
			}
			return buffer.flip();
		}
	}

	private static LogRecord parse(Path file, int start, ByteBuffer message) throws StorageException {
		try {
			return LogRecord.parseFrom(message);
		}
		catch (InvalidProtocolBufferException ex) {
			throw damagedLog(file, start);
		}
	}

	/**
	 * Checks whether a valid record starts at a position.
	 * @param buffer the file
	 * @param position the position
	 * @return the synced length of the file when the record was written, or
	 * {@value #NO_RECORD} if there is no valid record
	 */
	private static long syncedBytesOfRecordAt(ByteBuffer buffer, int position) {
		int available = buffer.limit() - position - LogFormat.RECORD_HEADER_BYTES;
		if (available < 0) {
			return NO_RECORD;
		}
		int length = buffer.getInt(position);
		if (length <= 0 || length > available || length > LogFormat.MAXIMUM_MESSAGE_BYTES) {
			return NO_RECORD;
		}
		long syncedBytes = buffer.getLong(position + 2 * Integer.BYTES);
		if (syncedBytes < 0 || syncedBytes > position) {
			return NO_RECORD;
		}
		ByteBuffer message = buffer.slice(position + LogFormat.RECORD_HEADER_BYTES, length);
		int checksum = buffer.getInt(position + Integer.BYTES);
		return (LogFormat.checksum(syncedBytes, message) == checksum) ? syncedBytes : NO_RECORD;
	}

	// Looks for a later record whose synced length covers the corrupt one: the corrupt
	// one had then been synced, so it was not torn by a crash.
	private static void requireTornTail(Path file, ByteBuffer buffer, int corruptPosition) throws StorageException {
		for (int position = corruptPosition + 1; position < buffer.limit(); position++) {
			if (syncedBytesOfRecordAt(buffer, position) > corruptPosition) {
				throw damagedLog(file, corruptPosition);
			}
		}
	}

	private static StorageException damagedLog(Path file, int position) {
		return new StorageException("The log " + file + " is damaged at byte " + position + ", before its end.",
				"Move the data folder away and start with an empty one; the other replicas fill it.");
	}

}
