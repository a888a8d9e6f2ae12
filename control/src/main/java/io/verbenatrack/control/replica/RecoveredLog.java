package io.verbenatrack.control.replica;

import java.util.List;

import io.verbenatrack.protocol.control.HardState;
import io.verbenatrack.protocol.control.LogEntry;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * The state of a replica recovered from its disk.
 *
 * @param hardState its term, vote and cluster
 * @param snapshot the latest snapshot; index 0 if there is none
 * @param baseIndex the index before the first entry
 * @param baseTerm the term at that index
 * @param entries the entries after the base, without gaps
 */
public record RecoveredLog(HardState hardState, SnapshotHeader snapshot, long baseIndex, long baseTerm,
		List<LogEntry> entries) {

	/** The state recovered from an empty disk. */
	public static final RecoveredLog EMPTY = new RecoveredLog(HardState.getDefaultInstance(),
			SnapshotHeader.getDefaultInstance(), 0, 0, List.of());

	public RecoveredLog {
		entries = List.copyOf(entries);
	}

}
