package io.verbenatrack.control;

/**
 * What the replicated log drives; called by one thread.
 */
public interface StateMachine {

	/**
	 * Applies a committed command.
	 * @param index its place in the log, from 1, without gaps
	 * @param command the command
	 * @return the result, given to the proposer
	 */
	byte[] apply(long index, byte[] command);

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
