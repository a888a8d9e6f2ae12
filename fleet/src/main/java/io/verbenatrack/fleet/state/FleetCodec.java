package io.verbenatrack.fleet.state;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;

import io.verbenatrack.state.RecordCodec;

/**
 * Encodes and decodes snapshots of the fleet state and the batches that change it.
 */
public final class FleetCodec {

	private final RecordCodec records = RecordCodec.cbor(FleetCommand.class);

	/**
	 * Encodes a batch.
	 * @param batch the batch
	 * @return the encoded batch
	 */
	public byte[] encode(FleetBatch batch) {
		return this.records.encode(batch);
	}

	/**
	 * Decodes a batch.
	 * @param bytes the output of {@link #encode(FleetBatch)}
	 * @return the batch
	 * @throws UncheckedIOException when the bytes are not an encoded batch
	 */
	public FleetBatch batch(byte[] bytes) {
		return this.records.decode(bytes, FleetBatch.class);
	}

	/**
	 * Encodes a snapshot of a state.
	 * @param state the state
	 * @param output receives the encoded snapshot; it is not closed
	 * @throws IOException if it cannot be written
	 */
	public void snapshot(FleetState state, OutputStream output) throws IOException {
		this.records.encode(state.snapshot(), output);
	}

	/**
	 * Replaces the content of a state by a snapshot.
	 * @param state the state to replace
	 * @param input the output of {@link #snapshot}
	 * @throws IOException when the bytes cannot be read or are not an encoded snapshot
	 * @throws IllegalArgumentException when the snapshot has an unsupported format
	 * version
	 */
	public void restore(FleetState state, InputStream input) throws IOException {
		FleetState.FleetSnapshot snapshot = this.records.decode(input, FleetState.FleetSnapshot.class);
		if (snapshot.format() < FleetState.FleetSnapshot.OLDEST_FORMAT
				|| snapshot.format() > FleetState.FleetSnapshot.FORMAT) {
			throw new IllegalArgumentException("The snapshot has format " + snapshot.format()
					+ ", which this version does not know. Start the version that wrote it.");
		}
		state.restore(snapshot);
	}

}
