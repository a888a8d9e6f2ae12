package io.verbenatrack.control.driver;

import io.verbenatrack.control.replica.ReplicaEffect;

/**
 * What the disk thread is asked to do.
 */
sealed interface DiskTask {

	/**
	 * Carry out an effect on the files.
	 *
	 * @param effect the effect
	 */
	record Execute(ReplicaEffect effect) implements DiskTask {

	}

	/** Read the folder anew after a failure. */
	record Reopen() implements DiskTask {

	}

}
