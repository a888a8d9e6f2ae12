package io.verbenatrack.control.storage;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * The format of a log file: a header followed by records.
 *
 * <p>
 * A record consists of the length of its message in bytes, a CRC32C of the remaining
 * fields, the synced length of the file when the record was written, and the message. The
 * synced length distinguishes a record that was torn by a crash from one that was damaged
 * later.
 */
final class LogFormat {

	/** The format version that this program writes. */
	static final int VERSION = 1;

	/** The size of the file header. */
	static final int HEADER_BYTES = 12;

	/** The size of a record without its message. */
	static final int RECORD_HEADER_BYTES = 16;

	/** The maximum size of a message. A larger length is treated as damage. */
	static final int MAXIMUM_MESSAGE_BYTES = 1 << 23;

	private static final byte[] MAGIC = "VTRKLOG\n".getBytes(StandardCharsets.US_ASCII);

	private LogFormat() {
	}

	static void putHeader(ByteBuffer buffer) {
		buffer.put(MAGIC).putInt(VERSION);
	}

	static void requireHeader(Path file, ByteBuffer buffer) throws StorageException {
		byte[] magic = new byte[MAGIC.length];
		if (buffer.remaining() >= HEADER_BYTES) {
			buffer.get(magic);
		}
		if (!Arrays.equals(magic, MAGIC)) {
			throw new StorageException("The file " + file + " is not a log of verbenatrack.",
					"Put back the right file, or move the data folder away and start with an empty one.");
		}
		int version = buffer.getInt();
		if (version > VERSION) {
			throw new StorageException("The log " + file + " has format " + version
					+ ", this program knows formats up to " + VERSION + ".", "Start the newer release that wrote it.");
		}
	}

	static void putRecord(ByteBuffer buffer, long syncedBytes, byte[] message) {
		buffer.putInt(message.length);
		buffer.putInt(checksum(syncedBytes, ByteBuffer.wrap(message)));
		buffer.putLong(syncedBytes);
		buffer.put(message);
	}

	static int checksum(long syncedBytes, ByteBuffer message) {
		CRC32C crc = new CRC32C();
		crc.update(ByteBuffer.allocate(Long.BYTES).putLong(syncedBytes).flip());
		crc.update(message.duplicate());
		return (int) crc.getValue();
	}

}
