package io.verbenatrack.fleetd;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.control.ReplicatedLog;
import io.verbenatrack.fleet.state.FleetCodec;
import io.verbenatrack.model.InstanceId;

/** A log whose outcomes a test chooses. */
final class ScriptedLog implements ReplicatedLog {

	volatile boolean leading = true;

	volatile Function<byte[], CompletableFuture<ProposalOutcome>> script = this::commit;

	private final FleetStateMachine stateMachine;

	private final FleetCodec codec;

	ScriptedLog(FleetStateMachine stateMachine, FleetCodec codec) {
		this.stateMachine = stateMachine;
		this.codec = codec;
	}

	CompletableFuture<ProposalOutcome> commit(byte[] command) {
		long sequence = this.codec.batch(command).sequence();
		return CompletableFuture
			.completedFuture(new ProposalOutcome.Committed(sequence, this.stateMachine.apply(sequence, command)));
	}

	@Override
	public CompletableFuture<ProposalOutcome> propose(byte[] command) {
		return this.script.apply(command);
	}

	@Override
	public CompletableFuture<Optional<Long>> confirmLeadership() {
		return CompletableFuture.completedFuture(Optional.of(1L));
	}

	@Override
	public Optional<InstanceId> leader() {
		return Optional.empty();
	}

	@Override
	public boolean leads() {
		return this.leading;
	}

	@Override
	public long term() {
		return 1;
	}

	@Override
	public void close() {
		// No resources to release.
	}

}
