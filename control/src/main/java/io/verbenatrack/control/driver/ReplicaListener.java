package io.verbenatrack.control.driver;

import io.verbenatrack.control.replica.ReplicaNotice;

/**
 * Hears what a replica tells its operators; called by the replica's thread.
 */
public interface ReplicaListener {

	/**
	 * Takes a notice.
	 * @param notice what happened
	 * @param detail which replica, term or membership
	 */
	void noticed(ReplicaNotice notice, String detail);

}
