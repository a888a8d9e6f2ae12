package io.verbenatrack.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;

import io.verbenatrack.protocol.control.LogRecord;

/**
 * Appends records to one log file.
 */
final class LogWriter implements AutoCloseable {

	private static final int BUFFER_BYTES = 1 << 16;

	private final FileChannel channel;

	private ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);

	private long writtenBytes;

	private long syncedBytes;

	private LogWriter(FileChannel channel) {
		this.channel = channel;
	}

	/**
	 * Creates a log file and makes its first records durable.
	 * @param file the file, which must not exist yet
	 * @param records its first records
	 * @return a writer that appends after them
	 * @throws IOException if it cannot be written
	 */
	static LogWriter create(Path file, List<LogRecord> records) throws IOException {
		Path temporary = file.resolveSibling(file.getFileName() + DurableFiles.TEMPORARY_SUFFIX);
		Files.deleteIfExists(temporary);
		LogWriter writer = new LogWriter(
				FileChannel.open(temporary, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE));
		try {
			LogFormat.putHeader(writer.buffer);
			writer.append(records);
			writer.sync();
			DurableFiles.moveIntoPlace(temporary, file);
			return writer;
		}
		catch (IOException ex) {
			writer.close();
			throw ex;
		}
	}

	void append(List<LogRecord> records) throws IOException {
		for (LogRecord record : records) {
			byte[] message = record.toByteArray();
			ensureCapacity(LogFormat.RECORD_HEADER_BYTES + message.length);
			LogFormat.putRecord(this.buffer, this.syncedBytes, message);
		}
	}

	private void ensureCapacity(int bytes) throws IOException {
		if (this.buffer.remaining() >= bytes) {
			return;
		}
		flush();
		if (this.buffer.capacity() < bytes) {
			this.buffer = ByteBuffer.allocateDirect(bytes);
		}
	}

	private void flush() throws IOException {
		this.buffer.flip();
		this.writtenBytes += this.buffer.remaining();
		DurableFiles.writeFully(this.channel, this.buffer);
		this.buffer.clear();
	}

	void sync() throws IOException {
		flush();
		this.channel.force(false);
		this.syncedBytes = this.writtenBytes;
	}

	@Override
	public void close() throws IOException {
		this.channel.close();
	}

}
