package io.verbenatrack.control.driver;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import org.jctools.queues.atomic.SpscAtomicArrayQueue;

import io.verbenatrack.control.Proposal;
import io.verbenatrack.control.StateMachine;
import io.verbenatrack.control.replica.CommittedEntry;
import io.verbenatrack.control.replica.ReplicaEvent;
import io.verbenatrack.control.storage.SnapshotFolder;
import io.verbenatrack.protocol.control.LogEntry;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * Applies committed entries, answers their proposers, and takes snapshots.
 */
final class ApplyDuty implements DutyThread.Duty {

	private static final long IDLE_NANOS = Duration.ofSeconds(1).toNanos();

	private static final byte[] NO_RESULT = {};

	private final StateMachine machine;

	private final SnapshotFolder snapshots;

	private final int entriesBetweenSnapshots;

	private final Promises promises;

	private final SpscAtomicArrayQueue<ApplyTask> tasks;

	private final Consumer<ProtocolTask> done;

	private volatile long appliedIndex;

	private long epoch;

	private long snapshotIndex;

	ApplyDuty(StateMachine machine, SnapshotFolder snapshots, int entriesBetweenSnapshots, Promises promises,
			SpscAtomicArrayQueue<ApplyTask> tasks, Consumer<ProtocolTask> done) {
		this.machine = machine;
		this.snapshots = snapshots;
		this.entriesBetweenSnapshots = entriesBetweenSnapshots;
		this.promises = promises;
		this.tasks = tasks;
		this.done = done;
	}

	long appliedIndex() {
		return this.appliedIndex;
	}

	@Override
	public long work() {
		ApplyTask task = this.tasks.poll();
		if (task == null) {
			return IDLE_NANOS;
		}
		switch (task) {
			case ApplyTask.Apply apply -> apply(apply.committed());
			case ApplyTask.Restore restore -> restore(restore.header());
			case ApplyTask.Confirm confirm -> this.promises.confirm(confirm.token(), Optional.of(confirm.term()));
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
			this.promises.complete(committed.token(), new Proposal.Committed(entry.getIndex(), result));
		}
		if (entry.getIndex() - this.snapshotIndex >= this.entriesBetweenSnapshots) {
			takeSnapshot(committed);
		}
	}

	private byte[] apply(LogEntry entry) {
		if (entry.hasCommand()) {
			return this.machine.apply(entry.getIndex(), entry.getCommand().toByteArray());
		}
		if (entry.hasRecovery()) {
			this.epoch = entry.getRecovery().getEpoch();
			this.machine.epochRaised(entry.getIndex(), this.epoch);
		}
		return NO_RESULT;
	}

	private void takeSnapshot(CommittedEntry committed) {
		SnapshotHeader described = SnapshotHeader.newBuilder()
			.setIndex(committed.entry().getIndex())
			.setTerm(committed.entry().getTerm())
			.setMembership(committed.membership())
			.setEpoch(this.epoch)
			.build();
		this.snapshotIndex = committed.entry().getIndex();
		try {
			SnapshotHeader saved = this.snapshots.save(described, this.machine.snapshot());
			this.done.accept(new ProtocolTask.Handle(new ReplicaEvent.SnapshotTaken(saved)));
		}
		catch (IOException ex) {
			this.done.accept(new ProtocolTask.Handle(new ReplicaEvent.DiskFailed()));
		}
	}

	private void restore(SnapshotHeader header) {
		if (header.getIndex() <= this.appliedIndex) {
			return;
		}
		try {
			this.machine.restore(this.snapshots.load(header));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.appliedIndex = header.getIndex();
		this.snapshotIndex = header.getIndex();
		this.epoch = header.getEpoch();
	}

}
