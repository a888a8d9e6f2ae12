package io.verbenatrack.server.command;

import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;

/**
 * The problems that any command can meet.
 */
public final class CommandProblems {

	private CommandProblems() {
	}

	/**
	 * No replica leads.
	 * @return the problem; nothing was recorded
	 */
	public static Problem noLeader() {
		return new Problem(ProblemKind.UNAVAILABLE, "No control replica leads now, so nothing was recorded.",
				"Send the same again in a second; if it lasts, see the operators' page on control.");
	}

	/**
	 * Leadership was lost after the command was logged.
	 * @return the problem; the command may have been recorded
	 */
	public static Problem outcomeUnknown() {
		return new Problem(ProblemKind.UNKNOWN_OUTCOME, "The leading replica changed before a quorum confirmed.",
				"Send the same again with the same id; it takes effect once.");
	}

	/**
	 * The queue of the leading replica is full.
	 * @return the problem; nothing was recorded
	 */
	public static Problem overloaded() {
		return new Problem(ProblemKind.OVERLOADED, "The queue of the control replica is full, so nothing was recorded.",
				"Send the same again after a pause, or raise limits.ring-capacity.");
	}

	/**
	 * The command made the leading replica fail.
	 * @param failure what was thrown
	 * @return the problem; nothing was recorded
	 */
	public static Problem internal(RuntimeException failure) {
		return new Problem(ProblemKind.UNAVAILABLE,
				"The leading replica failed on this command (" + failure + "), so nothing was recorded.",
				"Report it with the event THREAD_FAILED of the leading replica's log.");
	}

	/**
	 * Nothing has the identifier.
	 * @param kind what was looked for
	 * @param id the identifier
	 * @return the problem
	 */
	public static Problem notFound(String kind, Object id) {
		return new Problem(ProblemKind.NOT_FOUND, "No " + kind + " is called " + id + ".",
				"Check the spelling, or look into the views.");
	}

}
