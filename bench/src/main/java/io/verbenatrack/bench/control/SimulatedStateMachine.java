package io.verbenatrack.bench.control;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;

import io.verbenatrack.control.StateMachine;
import io.verbenatrack.state.claims.ClaimState;
import io.verbenatrack.state.configuration.AcceptedConfiguration;
import io.verbenatrack.state.configuration.ConfigurationState;

/**
 * State machine with the configuration and the claims. The first byte of a command
 * selects between them.
 */
final class SimulatedStateMachine implements StateMachine {

	private static final byte CONFIGURATION = 0;

	private static final byte CLAIM = 1;

	private static final int MAXIMUM_CLAIMS = 100_000;

	private static final long MAXIMUM_ANSWER_BYTES = 1 << 26;

	private final ConfigurationState configuration = new ConfigurationState();

	private final ClaimState claims = new ClaimState(MAXIMUM_CLAIMS, MAXIMUM_ANSWER_BYTES);

	static byte[] configurationCommand(byte[] command) {
		return framed(CONFIGURATION, command);
	}

	static byte[] claimCommand(byte[] command) {
		return framed(CLAIM, command);
	}

	private static byte[] framed(byte kind, byte[] command) {
		return ByteBuffer.allocate(command.length + 1).put(kind).put(command).array();
	}

	@Override
	public byte[] apply(long index, byte[] command) {
		byte[] bare = new byte[command.length - 1];
		System.arraycopy(command, 1, bare, 0, bare.length);
		return (command[0] == CONFIGURATION) ? this.configuration.apply(bare) : this.claims.apply(bare);
	}

	@Override
	public void epochRaised(long index, long epoch) {
		this.configuration.raiseEpoch(epoch);
	}

	@Override
	public void snapshot(OutputStream output) throws IOException {
		byte[] first = this.configuration.snapshot();
		output.write(ByteBuffer.allocate(Integer.BYTES).putInt(first.length).array());
		output.write(first);
		output.write(this.claims.snapshot());
	}

	@Override
	public void restore(InputStream snapshot) throws IOException {
		ByteBuffer buffer = ByteBuffer.wrap(snapshot.readAllBytes());
		byte[] first = new byte[buffer.getInt()];
		buffer.get(first);
		byte[] second = new byte[buffer.remaining()];
		buffer.get(second);
		this.configuration.restore(first);
		this.claims.restore(second);
	}

	AcceptedConfiguration inForce() {
		return this.configuration.latest();
	}

}
