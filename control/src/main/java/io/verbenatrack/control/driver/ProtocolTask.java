package io.verbenatrack.control.driver;

import io.verbenatrack.control.replica.RecoveredLog;
import io.verbenatrack.control.replica.ReplicaEvent;

/**
 * A task for the protocol thread.
 */
sealed interface ProtocolTask {

	/**
	 * Pass an event to the replica core.
	 *
	 * @param event the event
	 */
	record Handle(ReplicaEvent event) implements ProtocolTask {

	}

	/**
	 * Restart the replica core from a log that was reopened after a disk failure.
	 *
	 * @param recovered the state recovered from disk
	 */
	record Reopened(RecoveredLog recovered) implements ProtocolTask {

	}

}
