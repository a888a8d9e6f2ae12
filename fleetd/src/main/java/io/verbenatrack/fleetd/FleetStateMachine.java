package io.verbenatrack.fleetd;

import java.util.function.Function;

import io.verbenatrack.control.StateMachine;
import io.verbenatrack.fleet.state.FleetCodec;
import io.verbenatrack.fleet.state.FleetState;

/**
 * Applies committed batches to the state of the fleet, which the leader's loop reads.
 */
public final class FleetStateMachine implements StateMachine {

	private static final byte[] APPLIED = { 1 };

	private static final byte[] STALE = { 0 };

	private final FleetState state = new FleetState();

	private final FleetCodec codec;

	/**
	 * Creates a machine with an empty state.
	 * @param codec decodes batches
	 */
	public FleetStateMachine(FleetCodec codec) {
		this.codec = codec;
	}

	@Override
	public synchronized byte[] apply(long index, byte[] command) {
		return this.state.apply(this.codec.batch(command)) ? APPLIED : STALE;
	}

	@Override
	public synchronized byte[] snapshot() {
		return this.codec.snapshot(this.state);
	}

	@Override
	public synchronized void restore(byte[] snapshot) {
		this.codec.restore(this.state, snapshot);
	}

	/**
	 * Reads the state while nothing is applied.
	 * @param <T> the type of the result
	 * @param reader reads the state and keeps no part of it
	 * @return what the reader returned
	 */
	public synchronized <T> T read(Function<FleetState, T> reader) {
		return reader.apply(this.state);
	}

	static boolean applied(byte[] result) {
		return result.length == 1 && result[0] == APPLIED[0];
	}

}
