package io.verbenatrack.control.driver;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import org.jctools.queues.atomic.SpscAtomicArrayQueue;

import io.verbenatrack.control.replica.ReplicaEffect;
import io.verbenatrack.control.replica.ReplicaEvent;
import io.verbenatrack.control.storage.LogFolder;
import io.verbenatrack.control.storage.SnapshotFolder;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * Writes and syncs the log. With group commit, one sync covers all queued writes.
 */
final class DiskDuty implements DutyThread.Duty, AutoCloseable {

	private static final long IDLE_NANOS = Duration.ofSeconds(1).toNanos();

	private final Path folder;

	private final SnapshotFolder snapshots;

	private final int chunkBytes;

	private final boolean groupCommit;

	private final SpscAtomicArrayQueue<DiskTask> tasks;

	private final Consumer<ProtocolTask> completions;

	private LogFolder log;

	private boolean failed;

	private long writtenTicket;

	private long syncedTicket;

	DiskDuty(Path folder, SnapshotFolder snapshots, LogFolder log, int chunkBytes, boolean groupCommit,
			SpscAtomicArrayQueue<DiskTask> tasks, Consumer<ProtocolTask> completions) {
		this.folder = folder;
		this.snapshots = snapshots;
		this.log = log;
		this.chunkBytes = chunkBytes;
		this.groupCommit = groupCommit;
		this.tasks = tasks;
		this.completions = completions;
	}

	@Override
	public long runOnce() {
		try {
			DiskTask task = this.tasks.poll();
			if (task == null) {
				return IDLE_NANOS;
			}
			while (task != null) {
				execute(task);
				if (!this.groupCommit) {
					sync();
				}
				task = this.tasks.poll();
			}
			sync();
		}
		catch (IOException ex) {
			fail();
		}
		return 0;
	}

	private void fail() {
		if (!this.failed) {
			this.failed = true;
			report(new ReplicaEvent.DiskFailed());
		}
		LockSupport.parkNanos(Duration.ofMillis(10).toNanos());
	}

	private void execute(DiskTask task) throws IOException {
		switch (task) {
			case DiskTask.Reopen reopen -> reopen();
			case DiskTask.Execute execute -> {
				if (!this.failed) {
					execute(execute.effect());
				}
			}
		}
	}

	private void execute(ReplicaEffect effect) throws IOException {
		switch (effect) {
			case ReplicaEffect.Persist persist -> {
				this.log.append(persist.records());
				this.writtenTicket = persist.ticket();
			}
			case ReplicaEffect.Roll roll -> {
				this.log.roll(roll.records());
				this.writtenTicket = roll.ticket();
			}
			case ReplicaEffect.ReadChunk read -> readChunk(read);
			case ReplicaEffect.WriteChunk write -> {
				SnapshotHeader header = write.header();
				long next = this.snapshots.writeChunk(header, write.offset(), write.data());
				report(new ReplicaEvent.ChunkWritten(header, next, next == header.getLength()));
			}
			default -> throw new IllegalArgumentException("No work for the disk: " + effect);
		}
	}

	private void readChunk(ReplicaEffect.ReadChunk read) throws IOException {
		Optional<ByteString> data = this.snapshots.readChunk(read.header(), read.offset(), this.chunkBytes);
		SnapshotHeader found = data.isPresent() ? read.header()
				: read.header().toBuilder().clearChecksum().clearLength().build();
		report(new ReplicaEvent.ChunkRead(read.to(), found, read.offset(), data.orElse(ByteString.EMPTY)));
	}

	private void sync() throws IOException {
		if (this.failed || this.writtenTicket == this.syncedTicket) {
			return;
		}
		this.log.sync();
		this.syncedTicket = this.writtenTicket;
		report(new ReplicaEvent.Synced(this.syncedTicket));
	}

	private void reopen() throws IOException {
		this.log.close();
		LogFolder.Opened opened = LogFolder.open(this.folder, this.snapshots.latest());
		this.log = opened.log();
		this.failed = false;
		this.writtenTicket = 0;
		this.syncedTicket = 0;
		this.completions.accept(new ProtocolTask.Reopened(opened.recovered()));
	}

	private void report(ReplicaEvent event) {
		this.completions.accept(new ProtocolTask.Handle(event));
	}

	@Override
	public void close() throws IOException {
		this.log.close();
	}

}
