package io.verbenatrack.control.driver;

import io.verbenatrack.control.replica.ReplicaNotice;

/**
 * Receives notices for operators. It is called by the protocol thread of the replica.
 */
public interface ReplicaListener {

	/**
	 * Called for each notice.
	 * @param notice what happened
	 * @param detail the replica, term, cluster or membership concerned
	 */
	void onNotice(ReplicaNotice notice, String detail);

}
