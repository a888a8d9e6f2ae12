package io.verbenatrack.control.storage;

import java.io.InputStream;
import java.nio.file.Path;
import java.util.zip.CRC32C;

import com.google.protobuf.ByteString;

import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * A process that receives a snapshot in chunks and reads it.
 */
public final class ReceivedSnapshotProcess {

	private static final int CHUNK_BYTES = 1 << 19;

	private ReceivedSnapshotProcess() {
	}

	/**
	 * Runs the process. Exits with 0 if the snapshot was received and read in full.
	 * @param arguments the data folder and the number of chunks
	 * @throws Exception if the snapshot cannot be written or read
	 */
	public static void main(String[] arguments) throws Exception {
		SnapshotFolder folder = new SnapshotFolder(Path.of(arguments[0]));
		int chunks = Integer.parseInt(arguments[1]);
		byte[] chunk = new byte[CHUNK_BYTES];
		CRC32C checksum = new CRC32C();
		for (int number = 0; number < chunks; number++) {
			checksum.update(chunk);
		}
		SnapshotHeader header = SnapshotHeader.newBuilder()
			.setFormat(SnapshotFolder.VERSION)
			.setIndex(9)
			.setTerm(2)
			.setLength((long) chunks * CHUNK_BYTES)
			.setChecksum((int) checksum.getValue())
			.build();
		long offset = 0;
		for (int number = 0; number < chunks; number++) {
			offset = folder.writeChunk(header, offset, ByteString.copyFrom(chunk));
		}
		long read = 0;
		try (InputStream state = folder.open(header)) {
			for (int count = state.read(chunk); count >= 0; count = state.read(chunk)) {
				read += count;
			}
		}
		System.exit((offset == header.getLength() && read == offset) ? 0 : 2);
	}

}
