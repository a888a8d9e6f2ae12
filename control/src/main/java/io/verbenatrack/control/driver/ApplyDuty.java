package io.verbenatrack.control.driver;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import org.jctools.queues.atomic.SpscAtomicArrayQueue;

import io.verbenatrack.control.LogLimits;
import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.control.StateMachine;
import io.verbenatrack.control.replica.CommittedEntry;
import io.verbenatrack.control.replica.ReplicaEvent;
import io.verbenatrack.control.replica.SnapshotSchedule;
import io.verbenatrack.control.storage.SnapshotBuffer;
import io.verbenatrack.control.storage.SnapshotFolder;
import io.verbenatrack.protocol.control.LogEntry;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * Applies committed entries to the state machine, completes their proposals and takes
 * snapshots.
 */
final class ApplyDuty implements DutyThread.Duty {

	private static final long IDLE_NANOS = Duration.ofSeconds(1).toNanos();

	private static final byte[] NO_RESULT = {};

	private final StateMachine stateMachine;

	private final SnapshotFolder snapshots;

	private final SnapshotSchedule snapshotSchedule;

	private final PendingRequests pendingRequests;

	private final SpscAtomicArrayQueue<ApplyTask> tasks;

	private final Consumer<ProtocolTask> completions;

	private volatile long appliedIndex;

	private long epoch;

	ApplyDuty(StateMachine stateMachine, SnapshotFolder snapshots, LogLimits limits, PendingRequests pendingRequests,
			SpscAtomicArrayQueue<ApplyTask> tasks, Consumer<ProtocolTask> completions) {
		this.stateMachine = stateMachine;
		this.snapshots = snapshots;
		this.snapshotSchedule = new SnapshotSchedule(limits);
		this.pendingRequests = pendingRequests;
		this.tasks = tasks;
		this.completions = completions;
	}

	long appliedIndex() {
		return this.appliedIndex;
	}

	@Override
	public long runOnce() {
		ApplyTask task = this.tasks.poll();
		if (task == null) {
			return IDLE_NANOS;
		}
		switch (task) {
			case ApplyTask.Apply apply -> apply(apply.committed());
			case ApplyTask.Restore restore -> restore(restore.header());
			case ApplyTask.Confirm confirm ->
				this.pendingRequests.confirm(confirm.token(), Optional.of(confirm.term()));
		}
		return 0;
	}

	private void apply(CommittedEntry committed) {
		LogEntry entry = committed.entry();
		if (entry.getIndex() <= this.appliedIndex) {
			return;
		}
		byte[] result = apply(entry);
		this.appliedIndex = entry.getIndex();
		if (committed.token() != 0) {
			this.pendingRequests.complete(committed.token(), new ProposalOutcome.Committed(entry.getIndex(), result));
		}
		if (this.snapshotSchedule.recordApplied(entry)) {
			takeSnapshot(committed);
		}
	}

	private byte[] apply(LogEntry entry) {
		if (entry.hasCommand()) {
			return this.stateMachine.apply(entry.getIndex(), entry.getCommand().toByteArray());
		}
		if (entry.hasRecovery()) {
			this.epoch = entry.getRecovery().getEpoch();
			this.stateMachine.epochRaised(entry.getIndex(), this.epoch);
		}
		return NO_RESULT;
	}

	private void takeSnapshot(CommittedEntry committed) {
		SnapshotHeader baseHeader = SnapshotHeader.newBuilder()
			.setIndex(committed.entry().getIndex())
			.setTerm(committed.entry().getTerm())
			.setMembership(committed.membership())
			.setEpoch(this.epoch)
			.build();
		try {
			SnapshotBuffer state = new SnapshotBuffer();
			this.stateMachine.snapshot(state);
			SnapshotHeader saved = this.snapshots.save(baseHeader, state);
			this.snapshotSchedule.recordSnapshot(saved);
			this.completions.accept(new ProtocolTask.Handle(new ReplicaEvent.SnapshotTaken(saved)));
		}
		catch (IOException ex) {
			this.completions.accept(new ProtocolTask.Handle(new ReplicaEvent.DiskFailed()));
		}
	}

	private void restore(SnapshotHeader header) {
		if (header.getIndex() <= this.appliedIndex) {
			return;
		}
		try (InputStream state = this.snapshots.open(header)) {
			this.stateMachine.restore(state);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.appliedIndex = header.getIndex();
		this.snapshotSchedule.recordSnapshot(header);
		this.epoch = header.getEpoch();
	}

}
