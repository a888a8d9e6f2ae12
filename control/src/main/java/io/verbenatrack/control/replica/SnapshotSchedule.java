package io.verbenatrack.control.replica;

import io.verbenatrack.control.LogLimits;
import io.verbenatrack.protocol.control.LogEntry;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * Decides when a replica takes its next snapshot, by the number and the size of the
 * entries applied since the last one.
 */
public final class SnapshotSchedule {

	private final LogLimits limits;

	private long snapshotIndex;

	private long snapshotBytes;

	private long appliedBytes;

	/**
	 * Creates the schedule of a replica without a snapshot.
	 * @param limits the limits on its log
	 */
	public SnapshotSchedule(LogLimits limits) {
		this.limits = limits;
	}

	/**
	 * Records an applied entry.
	 * @param entry the entry
	 * @return whether a snapshot is due
	 */
	public boolean recordApplied(LogEntry entry) {
		this.appliedBytes += entry.getSerializedSize();
		return entry.getIndex() - this.snapshotIndex >= this.limits.entriesBetweenSnapshots()
				|| this.appliedBytes >= Math.max(this.limits.bytesBetweenSnapshots(), this.snapshotBytes);
	}

	/**
	 * Records a snapshot that was taken or restored.
	 * @param snapshot the snapshot
	 */
	public void recordSnapshot(SnapshotHeader snapshot) {
		this.snapshotIndex = snapshot.getIndex();
		this.snapshotBytes = snapshot.getLength();
		this.appliedBytes = 0;
	}

}
