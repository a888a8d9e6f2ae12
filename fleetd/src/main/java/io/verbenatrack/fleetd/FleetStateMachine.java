package io.verbenatrack.fleetd;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.function.Function;

import io.verbenatrack.control.StateMachine;
import io.verbenatrack.fleet.state.FleetCodec;
import io.verbenatrack.fleet.state.FleetState;

/**
 * Applies committed batches of commands to the state of the fleet, from which the leader
 * decides.
 */
public final class FleetStateMachine implements StateMachine {

	private static final byte[] APPLIED = { 1 };

	private static final byte[] STALE = { 0 };

	private final FleetState state = new FleetState();

	private final FleetCodec codec;

	/**
	 * Creates a state machine with an empty state.
	 * @param codec decodes batches and converts snapshots
	 */
	public FleetStateMachine(FleetCodec codec) {
		this.codec = codec;
	}

	@Override
	public synchronized byte[] apply(long index, byte[] command) {
		return this.state.apply(this.codec.batch(command)) ? APPLIED : STALE;
	}

	@Override
	public synchronized void snapshot(OutputStream output) throws IOException {
		this.codec.snapshot(this.state, output);
	}

	@Override
	public synchronized void restore(InputStream snapshot) throws IOException {
		this.codec.restore(this.state, snapshot);
	}

	/**
	 * Reads the state. No batch is applied during the read.
	 * @param <T> the type of the result
	 * @param reader reads the state; must not keep references to parts of it
	 * @return the result of the reader
	 */
	public synchronized <T> T read(Function<FleetState, T> reader) {
		return reader.apply(this.state);
	}

	static boolean applied(byte[] result) {
		return result.length == 1 && result[0] == APPLIED[0];
	}

}
