package io.verbenatrack.control.storage;

import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The encoded state of a snapshot before it is written to disk, in segments, so that it
 * is neither copied as it grows nor needs one large array.
 */
public final class SnapshotBuffer extends OutputStream {

	private static final int SEGMENT_BYTES = 1 << 16;

	private final List<ByteBuffer> fullSegments = new ArrayList<>();

	private final CRC32C checksum = new CRC32C();

	private ByteBuffer segment = ByteBuffer.allocate(SEGMENT_BYTES);

	@Override
	public void write(int value) {
		write(new byte[] { (byte) value }, 0, 1);
	}

	@Override
	public void write(byte[] bytes, int offset, int length) {
		this.checksum.update(bytes, offset, length);
		int written = 0;
		while (written < length) {
			if (!this.segment.hasRemaining()) {
				this.fullSegments.add(this.segment.flip());
				this.segment = ByteBuffer.allocate(SEGMENT_BYTES);
			}
			int count = Math.min(this.segment.remaining(), length - written);
			this.segment.put(bytes, offset + written, count);
			written += count;
		}
	}

	long length() {
		return (long) this.fullSegments.size() * SEGMENT_BYTES + this.segment.position();
	}

	int checksum() {
		return (int) this.checksum.getValue();
	}

	List<ByteBuffer> segments() {
		List<ByteBuffer> segments = new ArrayList<>(this.fullSegments);
		segments.add(this.segment.duplicate().flip());
		return segments;
	}

}
