package io.verbenatrack.control.storage;

import java.util.ArrayList;
import java.util.List;

import io.verbenatrack.control.replica.RecoveredLog;
import io.verbenatrack.protocol.control.HardState;
import io.verbenatrack.protocol.control.LogEntry;
import io.verbenatrack.protocol.control.LogRecord;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * Replays the records of a log to recover its state. An entry replaces all entries from
 * its index on.
 */
public final class LogRecovery {

	private final SnapshotHeader snapshot;

	private final List<LogEntry> entries = new ArrayList<>();

	private HardState hardState = HardState.getDefaultInstance();

	/**
	 * Creates a recovery without records.
	 * @param snapshot the latest snapshot in the data folder; index 0 if there is none
	 */
	public LogRecovery(SnapshotHeader snapshot) {
		this.snapshot = snapshot;
	}

	/**
	 * Replays the next record.
	 * @param record the record
	 */
	public void accept(LogRecord record) {
		if (record.hasHardState()) {
			this.hardState = record.getHardState();
			return;
		}
		LogEntry entry = record.getEntry();
		if (!this.entries.isEmpty()) {
			long first = this.entries.get(0).getIndex();
			int keep = (int) Math.max(0, Math.min(this.entries.size(), entry.getIndex() - first));
			this.entries.subList(keep, this.entries.size()).clear();
		}
		this.entries.add(entry);
	}

	/**
	 * Returns the state recovered from all records.
	 * @return the log
	 * @throws StorageException if entries are missing
	 */
	public RecoveredLog recovered() throws StorageException {
		requireNoGaps();
		if (supersededBySnapshot()) {
			this.entries.clear();
		}
		if (this.entries.isEmpty() || this.entries.get(0).getIndex() == this.snapshot.getIndex() + 1) {
			return recovered(this.snapshot.getIndex(), this.snapshot.getTerm(), this.entries);
		}
		LogEntry first = this.entries.get(0);
		if (first.getIndex() == 1) {
			return recovered(0, 0, this.entries);
		}
		return recovered(first.getIndex(), first.getTerm(), this.entries.subList(1, this.entries.size()));
	}

	private RecoveredLog recovered(long baseIndex, long baseTerm, List<LogEntry> remaining) {
		return new RecoveredLog(this.hardState, this.snapshot, baseIndex, baseTerm, remaining);
	}

	// Returns whether the entries conflict with the snapshot or end before it.
	private boolean supersededBySnapshot() {
		long index = this.snapshot.getIndex();
		if (index == 0 || this.entries.isEmpty() || this.entries.get(0).getIndex() == index + 1) {
			return false;
		}
		int position = (int) (index - this.entries.get(0).getIndex());
		return position >= this.entries.size() || this.entries.get(position).getTerm() != this.snapshot.getTerm();
	}

	private void requireNoGaps() throws StorageException {
		long next = Math.min(this.snapshot.getIndex() + 1,
				this.entries.isEmpty() ? Long.MAX_VALUE : this.entries.get(0).getIndex());
		for (LogEntry entry : this.entries) {
			if (entry.getIndex() != next) {
				throw new StorageException("The log does not hold entry " + next + " and no snapshot covers it.",
						"Move the data folder away and start with an empty one; the other replicas fill it.");
			}
			next++;
		}
	}

	/**
	 * Returns the shortest list of records from which the same state is recovered.
	 * @return the records
	 */
	public List<LogRecord> compactedRecords() {
		List<LogRecord> records = new ArrayList<>();
		records.add(LogRecord.newBuilder().setHardState(this.hardState).build());
		this.entries.forEach((entry) -> records.add(LogRecord.newBuilder().setEntry(entry).build()));
		return records;
	}

}
