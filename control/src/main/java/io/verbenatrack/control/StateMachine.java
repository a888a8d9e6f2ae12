package io.verbenatrack.control;

/**
 * What the replicated log drives; called by one thread.
 */
public interface StateMachine {

	/**
	 * Applies a committed command.
	 * @param index its place in the log, from 1; grows with each call, and skips the
	 * entries that the log holds for itself
	 * @param command the command
	 * @return the result, given to the proposer
	 */
	byte[] apply(long index, byte[] command);

	/**
	 * Tells that an operator recovered a lost quorum.
	 * @param index its place in the log
	 * @param epoch the new epoch, greater than any before
	 */
	default void epochRaised(long index, long epoch) {
	}

	/**
	 * Copies the whole state.
	 * @return the state in a versioned format
	 */
	byte[] snapshot();

	/**
	 * Replaces the whole state.
	 * @param snapshot what {@link #snapshot()} returned
	 */
	void restore(byte[] snapshot);

}
