package io.verbenatrack.server.leader;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.control.ReplicatedLog;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.server.log.ControlStateMachine;

/**
 * A log of a single replica that commits immediately.
 */
final class ImmediateCommitLog implements ReplicatedLog {

	private final ControlStateMachine machine;

	private long index;

	ImmediateCommitLog(ControlStateMachine machine) {
		this.machine = machine;
	}

	@Override
	public synchronized CompletableFuture<ProposalOutcome> propose(byte[] command) {
		this.index++;
		byte[] result = this.machine.apply(this.index, command);
		return CompletableFuture.completedFuture(new ProposalOutcome.Committed(this.index, result));
	}

	@Override
	public CompletableFuture<Optional<Long>> confirmLeadership() {
		return CompletableFuture.completedFuture(Optional.of(1L));
	}

	@Override
	public Optional<InstanceId> leader() {
		return Optional.of(new InstanceId("i"));
	}

	@Override
	public boolean leads() {
		return true;
	}

	@Override
	public long term() {
		return 1;
	}

	@Override
	public void close() {
	}

	ControlStateMachine machine() {
		return this.machine;
	}

}
