package io.verbenatrack.server.log;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;

import io.verbenatrack.control.StateMachine;
import io.verbenatrack.state.RecordCodec;
import io.verbenatrack.state.claims.ClaimState;
import io.verbenatrack.state.configuration.ConfigurationState;

/**
 * The state machine of the control log, which dispatches each command by its kind.
 */
public final class ControlStateMachine implements StateMachine {

	private static final int SNAPSHOT_FORMAT = 1;

	private final ConfigurationState configuration;

	private final ClaimState claims;

	private final JobsState jobs;

	private final RecordCodec codec;

	/**
	 * Creates the state machine.
	 * @param configuration the accepted declarations
	 * @param claims the claims on requests
	 * @param jobs the jobs and workers
	 * @param codec encodes snapshots
	 */
	public ControlStateMachine(ConfigurationState configuration, ClaimState claims, JobsState jobs, RecordCodec codec) {
		this.configuration = configuration;
		this.claims = claims;
		this.jobs = jobs;
		this.codec = codec;
	}

	@Override
	public byte[] apply(long index, byte[] framed) {
		byte[] command = CommandKind.unframe(framed);
		return switch (CommandKind.of(framed)) {
			case CONFIGURATION -> this.configuration.apply(command);
			case CLAIM -> this.claims.apply(command);
			case DECISIONS -> this.jobs.apply(command);
		};
	}

	@Override
	public void epochRaised(long index, long epoch) {
		this.configuration.raiseEpoch(epoch);
	}

	@Override
	public void snapshot(OutputStream output) throws IOException {
		this.codec.encode(new Snapshot(SNAPSHOT_FORMAT, this.configuration.snapshot(), this.claims.snapshot(),
				this.jobs.snapshot()), output);
	}

	@Override
	public void restore(InputStream input) throws IOException {
		Snapshot snapshot = this.codec.decode(input, Snapshot.class);
		if (snapshot.format() != SNAPSHOT_FORMAT) {
			throw new IllegalStateException("The snapshot has format " + snapshot.format() + ", and this version reads "
					+ SNAPSHOT_FORMAT + ". Upgrade this instance.");
		}
		this.configuration.restore(snapshot.configuration());
		this.claims.restore(snapshot.claims());
		this.jobs.restore(snapshot.jobs());
	}

	private record Snapshot(int format, byte[] configuration, byte[] claims, byte[] jobs) {

	}

}
