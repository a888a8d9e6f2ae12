package io.verbenatrack.bench.control;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import com.google.protobuf.ByteString;

import io.verbenatrack.control.replica.RecoveredLog;
import io.verbenatrack.control.storage.LogRecovery;
import io.verbenatrack.protocol.control.LogRecord;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * Simulated disk that loses unsynced writes when its process crashes.
 */
final class SimulatedDisk {

	private final TreeMap<Long, Snapshot> snapshots = new TreeMap<>();

	private final Deque<Write> unsynced = new ArrayDeque<>();

	private List<LogRecord> records = new ArrayList<>();

	private SnapshotHeader incomingHeader = SnapshotHeader.getDefaultInstance();

	private ByteString incomingState = ByteString.EMPTY;

	private final String incarnation;

	private boolean full;

	private long extraSyncNanos;

	/** End of the current sync, in nanoseconds. */
	private long syncEndNanos;

	/**
	 * End of the sync after the current one in nanoseconds, 0 if no write waits for it.
	 */
	private long nextSyncEndNanos;

	SimulatedDisk(String incarnation) {
		this.incarnation = incarnation;
	}

	String incarnation() {
		return this.incarnation;
	}

	boolean full() {
		return this.full;
	}

	void full(boolean isFull) {
		this.full = isFull;
	}

	void extraSyncNanos(long nanos) {
		this.extraSyncNanos = nanos;
	}

	/**
	 * Assigns a write to a sync. All writes that arrive during a sync share the next one.
	 * @param nowNanos the current time in nanoseconds
	 * @param latencyNanos the duration of a sync on a healthy disk, in nanoseconds
	 * @return the time until the write is synced, in nanoseconds
	 */
	long reserve(long nowNanos, long latencyNanos) {
		if (nowNanos >= this.syncEndNanos) {
			this.syncEndNanos = Math.max(nowNanos, this.nextSyncEndNanos);
			this.nextSyncEndNanos = 0;
		}
		long durationNanos = latencyNanos + this.extraSyncNanos;
		if (nowNanos >= this.syncEndNanos) {
			this.syncEndNanos = nowNanos + durationNanos;
			return durationNanos;
		}
		if (this.nextSyncEndNanos == 0) {
			this.nextSyncEndNanos = this.syncEndNanos + durationNanos;
		}
		return this.nextSyncEndNanos - nowNanos;
	}

	Write write(List<LogRecord> added, boolean replaces) {
		Write write = new Write(added, replaces);
		this.unsynced.add(write);
		return write;
	}

	void sync(Write write) {
		while (this.unsynced.contains(write)) {
			apply(this.unsynced.poll());
		}
	}

	private void apply(Write write) {
		if (write.replaces()) {
			this.records = new ArrayList<>();
		}
		this.records.addAll(write.added());
	}

	/**
	 * Discards unsynced writes, except for a random prefix of them. The last write of the
	 * prefix may be torn.
	 * @param random chooses the length of the prefix
	 */
	void crash(RandomGenerator random) {
		int writtenCount = random.nextInt(this.unsynced.size() + 1);
		for (int i = 0; i < writtenCount; i++) {
			Write write = this.unsynced.poll();
			boolean torn = i == writtenCount - 1 && !write.replaces();
			apply(torn ? write.prefix(random.nextInt(write.added().size() + 1)) : write);
		}
		this.unsynced.clear();
		this.syncEndNanos = 0;
		this.nextSyncEndNanos = 0;
	}

	RecoveredLog recover() {
		SnapshotHeader latest = this.snapshots.isEmpty() ? SnapshotHeader.getDefaultInstance()
				: this.snapshots.lastEntry().getValue().header();
		LogRecovery recovery = new LogRecovery(latest);
		this.records.forEach(recovery::accept);
		try {
			RecoveredLog recovered = recovery.recovered();
			this.records = new ArrayList<>(recovery.compactedRecords());
			return recovered;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	SnapshotHeader saveSnapshot(SnapshotHeader described, byte[] state) {
		SnapshotHeader header = described.toBuilder()
			.setFormat(1)
			.setLength(state.length)
			.setChecksum(Arrays.hashCode(state))
			.build();
		this.snapshots.put(header.getIndex(), new Snapshot(header, ByteString.copyFrom(state)));
		if (this.snapshots.size() > 2) {
			this.snapshots.pollFirstEntry();
		}
		return header;
	}

	ByteString snapshot(SnapshotHeader header) {
		Snapshot snapshot = this.snapshots.get(header.getIndex());
		return (snapshot != null) ? snapshot.state() : null;
	}

	long writeChunk(SnapshotHeader header, long offset, ByteString data) {
		if (this.snapshots.containsKey(header.getIndex())) {
			return header.getLength();
		}
		if (!header.equals(this.incomingHeader)) {
			this.incomingHeader = header;
			this.incomingState = ByteString.EMPTY;
		}
		if (this.incomingState.size() == offset) {
			this.incomingState = this.incomingState.concat(data);
		}
		if (this.incomingState.size() == header.getLength()) {
			this.snapshots.put(header.getIndex(), new Snapshot(header, this.incomingState));
		}
		return this.incomingState.size();
	}

	/**
	 * Unsynced write of records.
	 *
	 * @param added the records
	 * @param replaces whether they replace all earlier records
	 */
	record Write(List<LogRecord> added, boolean replaces) {

		private Write prefix(int count) {
			return new Write(this.added.subList(0, count), false);
		}

		@Override
		public boolean equals(Object other) {
			return this == other;
		}

		@Override
		public int hashCode() {
			return System.identityHashCode(this);
		}

	}

	private record Snapshot(SnapshotHeader header, ByteString state) {

	}

}
