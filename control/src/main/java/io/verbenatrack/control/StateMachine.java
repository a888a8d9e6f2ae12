package io.verbenatrack.control;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;

/**
 * A state machine that is driven by the replicated log. It is called by a single thread.
 */
public interface StateMachine {

	/**
	 * Applies a committed command.
	 * @param index the log index of the command, from 1; increases with each call, with
	 * gaps where the log contains internal entries
	 * @param command the command
	 * @return the result, which is returned to the proposer
	 */
	byte[] apply(long index, byte[] command);

	/**
	 * Called when an operator has recovered the cluster after the loss of its quorum.
	 * @param index the log index of the recovery
	 * @param epoch the new epoch, higher than any earlier one
	 */
	default void epochRaised(long index, long epoch) {
	}

	/**
	 * Writes the complete state.
	 * @param output receives the state in a versioned format; it is in memory, so that it
	 * may be written to while the state is locked
	 * @throws IOException if the state cannot be encoded
	 */
	void snapshot(OutputStream output) throws IOException;

	/**
	 * Replaces the complete state.
	 * @param snapshot a state written by {@link #snapshot}
	 * @throws IOException if the snapshot cannot be read
	 */
	void restore(InputStream snapshot) throws IOException;

}
