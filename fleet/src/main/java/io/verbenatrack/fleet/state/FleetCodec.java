package io.verbenatrack.fleet.state;

import io.verbenatrack.state.RecordCodec;

/**
 * Encodes the state of the fleet and the batches that change it.
 */
public final class FleetCodec {

	private final RecordCodec records = RecordCodec.cbor(FleetCommand.class);

	/**
	 * Encodes a batch.
	 * @param batch the batch
	 * @return its bytes
	 */
	public byte[] encode(FleetBatch batch) {
		return this.records.encode(batch);
	}

	/**
	 * Decodes a batch.
	 * @param bytes what {@link #encode(FleetBatch)} wrote
	 * @return the batch
	 */
	public FleetBatch batch(byte[] bytes) {
		return this.records.decode(bytes, FleetBatch.class);
	}

	/**
	 * Copies a state.
	 * @param state the state
	 * @return its bytes
	 */
	public byte[] snapshot(FleetState state) {
		return this.records.encode(state.snapshot());
	}

	/**
	 * Replaces a state.
	 * @param state the state
	 * @param bytes what {@link #snapshot} wrote
	 * @throws IllegalArgumentException when another version of the program wrote it
	 */
	public void restore(FleetState state, byte[] bytes) {
		FleetState.FleetSnapshot snapshot = this.records.decode(bytes, FleetState.FleetSnapshot.class);
		if (snapshot.format() != FleetState.FleetSnapshot.FORMAT) {
			throw new IllegalArgumentException("The snapshot has format " + snapshot.format()
					+ ", which this version does not know. Start the version that wrote it.");
		}
		state.restore(snapshot);
	}

}
