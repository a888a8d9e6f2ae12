package io.verbenatrack.control.driver;

import io.verbenatrack.control.replica.CommittedEntry;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * What the apply thread is asked to do.
 */
sealed interface ApplyTask {

	/**
	 * Apply an entry.
	 *
	 * @param committed the entry
	 */
	record Apply(CommittedEntry committed) implements ApplyTask {

	}

	/**
	 * Replace the state by a snapshot.
	 *
	 * @param header the snapshot
	 */
	record Restore(SnapshotHeader header) implements ApplyTask {

	}

	/**
	 * Answer a question, everything before it being applied.
	 *
	 * @param token the question's name
	 * @param term the term in which this replica leads
	 */
	record Confirm(long token, long term) implements ApplyTask {

	}

}
