package io.verbenatrack.control.driver;

import io.verbenatrack.control.replica.CommittedEntry;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * A task for the apply thread.
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
	 * Replace the state with a snapshot.
	 *
	 * @param header the snapshot
	 */
	record Restore(SnapshotHeader header) implements ApplyTask {

	}

	/**
	 * Complete a leadership confirmation after all earlier tasks.
	 *
	 * @param token the token of the confirmation request
	 * @param term the term of this replica's leadership
	 */
	record Confirm(long token, long term) implements ApplyTask {

	}

}
