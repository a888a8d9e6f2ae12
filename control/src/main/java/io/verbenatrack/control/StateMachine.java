package io.verbenatrack.control;

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
	 * Serializes the complete state.
	 * @return the state in a versioned format
	 */
	byte[] snapshot();

	/**
	 * Replaces the complete state.
	 * @param snapshot a state returned by {@link #snapshot()}
	 */
	void restore(byte[] snapshot);

}
