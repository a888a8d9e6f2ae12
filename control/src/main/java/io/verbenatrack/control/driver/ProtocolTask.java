package io.verbenatrack.control.driver;

import io.verbenatrack.control.replica.RecoveredLog;
import io.verbenatrack.control.replica.ReplicaEvent;

/**
 * What the protocol thread is asked to do.
 */
sealed interface ProtocolTask {

	/**
	 * Hand an event to the replica.
	 *
	 * @param event the event
	 */
	record Handle(ReplicaEvent event) implements ProtocolTask {

	}

	/**
	 * Start the replica anew with what is on its disk.
	 *
	 * @param recovered what was read
	 */
	record Reopened(RecoveredLog recovered) implements ProtocolTask {

	}

}
