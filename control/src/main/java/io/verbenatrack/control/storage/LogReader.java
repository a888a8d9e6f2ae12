package io.verbenatrack.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.Consumer;

import com.google.protobuf.InvalidProtocolBufferException;

import io.verbenatrack.protocol.control.LogRecord;

/**
 * Reads a log file, of which it holds one record in memory at a time. A tail torn by a
 * crash is discarded; damage before the tail is an error.
 */
final class LogReader implements AutoCloseable {

	private static final int WINDOW_BYTES = 1 << 16;

	private final Path file;

	private final FileChannel channel;

	private final long size;

	/** The part of the file in memory. */
	private ByteBuffer window = ByteBuffer.allocate(WINDOW_BYTES).limit(0);

	private long windowStart;

	private LogReader(Path file) throws IOException {
		this.file = file;
		this.channel = FileChannel.open(file, StandardOpenOption.READ);
		this.size = this.channel.size();
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
		try (LogReader reader = new LogReader(file)) {
			return reader.readRecords(records);
		}
	}

	private long readRecords(Consumer<LogRecord> records) throws IOException {
		LogFormat.requireHeader(this.file, bytes(0, (int) Math.min(this.size, LogFormat.HEADER_BYTES)));
		long position = LogFormat.HEADER_BYTES;
		while (position < this.size) {
			if (!isRecord(position, 0)) {
				requireTornTail(position);
				return this.size - position;
			}
			int length = bytes(position, Integer.BYTES).getInt();
			records.accept(parse(position, bytes(position + LogFormat.RECORD_HEADER_BYTES, length)));
			position += LogFormat.RECORD_HEADER_BYTES + length;
		}
		return 0;
	}

	private LogRecord parse(long start, ByteBuffer message) throws StorageException {
		try {
			return LogRecord.parseFrom(message);
		}
		catch (InvalidProtocolBufferException ex) {
			throw damagedLog(start);
		}
	}

	/**
	 * Returns bytes of the file. The buffer is valid until the next call.
	 * @param position the position of the first byte
	 * @param length the number of bytes, all of which the file has
	 * @return the bytes
	 * @throws IOException if they cannot be read
	 */
	private ByteBuffer bytes(long position, int length) throws IOException {
		if (position < this.windowStart || position + length > this.windowStart + this.window.limit()) {
			load(position, length);
		}
		return this.window.slice((int) (position - this.windowStart), length);
	}

	private void load(long position, int length) throws IOException {
		if (this.window.capacity() < length) {
			this.window = ByteBuffer.allocate(length);
		}
		this.window.clear();
		this.windowStart = position;
		int read = 0;
		while (this.window.hasRemaining() && read >= 0) {
			read = this.channel.read(this.window, position + this.window.position());
		}
		this.window.flip();
	}

	/**
	 * Checks whether a valid record starts at a position.
	 * @param position the position
	 * @param minimumSyncedBytes the synced length that the file had at least when the
	 * record was written
	 * @return whether there is such a record
	 * @throws IOException if the file cannot be read
	 */
	private boolean isRecord(long position, long minimumSyncedBytes) throws IOException {
		long available = this.size - position - LogFormat.RECORD_HEADER_BYTES;
		if (available < 0) {
			return false;
		}
		ByteBuffer header = bytes(position, LogFormat.RECORD_HEADER_BYTES);
		int length = header.getInt();
		int checksum = header.getInt();
		long syncedBytes = header.getLong();
		if (length <= 0 || length > available || length > LogFormat.MAXIMUM_MESSAGE_BYTES) {
			return false;
		}
		if (syncedBytes < minimumSyncedBytes || syncedBytes > position) {
			return false;
		}
		ByteBuffer message = bytes(position + LogFormat.RECORD_HEADER_BYTES, length);
		return LogFormat.checksum(syncedBytes, message) == checksum;
	}

	// Looks for a later record whose synced length covers the corrupt one: the corrupt
	// one had then been synced, so it was not torn by a crash.
	private void requireTornTail(long corruptPosition) throws IOException {
		for (long position = corruptPosition + 1; position < this.size; position++) {
			if (isRecord(position, corruptPosition + 1)) {
				throw damagedLog(corruptPosition);
			}
		}
	}

	private StorageException damagedLog(long position) {
		return new StorageException("The log " + this.file + " is damaged at byte " + position + ", before its end.",
				"Move the data folder away and start with an empty one; the other replicas fill it.");
	}

	@Override
	public void close() throws IOException {
		this.channel.close();
	}

}
