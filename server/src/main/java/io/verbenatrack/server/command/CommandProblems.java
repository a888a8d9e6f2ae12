package io.verbenatrack.server.command;

import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;

/**
 * Creates the problems that any command can be answered with.
 */
public final class CommandProblems {

	private CommandProblems() {
	}

	/**
	 * Reports that no replica leads.
	 * @return the problem; nothing was recorded
	 */
	public static Problem noLeader() {
		return new Problem(ProblemKind.UNAVAILABLE, "No control replica leads now, so nothing was recorded.",
				"Send the same again in a second; if it lasts, see the operators' page on control.");
	}

	/**
	 * Reports that leadership was lost after the command was appended to the log.
	 * @return the problem; the command may have been recorded
	 */
	public static Problem outcomeUnknown() {
		return new Problem(ProblemKind.UNKNOWN_OUTCOME, "The leading replica changed before a quorum confirmed.",
				"Send the same again with the same id; it takes effect once.");
	}

	/**
	 * Reports that the command queue of the leading replica is full.
	 * @return the problem; nothing was recorded
	 */
	public static Problem overloaded() {
		return new Problem(ProblemKind.OVERLOADED, "The queue of the control replica is full, so nothing was recorded.",
				"Send the same again after a pause, or raise limits.ring-capacity.");
	}

	/**
	 * Reports that the command caused an exception on the leading replica.
	 * @param failure the exception
	 * @return the problem; nothing was recorded
	 */
	public static Problem internal(RuntimeException failure) {
		return new Problem(ProblemKind.UNAVAILABLE,
				"The leading replica failed on this command (" + failure + "), so nothing was recorded.",
				"Report it with the event THREAD_FAILED of the leading replica's log.");
	}

	/**
	 * Reports that nothing has the identifier.
	 * @param kind the kind of thing looked up, such as job
	 * @param id the identifier
	 * @return the problem
	 */
	public static Problem notFound(String kind, Object id) {
		return new Problem(ProblemKind.NOT_FOUND, "No " + kind + " is called " + id + ".",
				"Check the spelling, or look into the views.");
	}

}
