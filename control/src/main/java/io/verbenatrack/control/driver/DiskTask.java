package io.verbenatrack.control.driver;

import io.verbenatrack.control.replica.ReplicaEffect;

/**
 * A task for the disk thread.
 */
sealed interface DiskTask {

	/**
	 * Execute an effect on the files of the data folder.
	 *
	 * @param effect the effect
	 */
	record Execute(ReplicaEffect effect) implements DiskTask {

	}

	/** Reopen the log after a disk failure. */
	record Reopen() implements DiskTask {

	}

}
