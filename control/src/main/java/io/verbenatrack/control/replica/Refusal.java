package io.verbenatrack.control.replica;

/**
 * The reason for the refusal of a proposal.
 */
public enum Refusal {

	/** The command is larger than the limit. */
	COMMAND_TOO_LARGE("The command is too large for the log.", "Send a smaller one."),

	/** Another membership change is not committed yet. */
	MEMBERSHIP_CHANGE_PENDING("Another membership change is not committed yet.",
			"Wait until it is committed and send this one again."),

	/**
	 * The change adds or removes more than one voter, or adds one that has not caught up.
	 */
	MEMBERSHIP_CHANGE_TOO_LARGE(
			"The membership change affects more than one voter, or adds one that has not caught up.",
			"Add a learner first, then make a caught-up learner a voter, one replica at a time."),

	/** The leader itself would be removed. */
	LEADER_REMOVED("The membership change would remove the leader.", "Stop that replica gracefully and send it again."),

	/** The change would exceed the maximum number of replicas. */
	TOO_MANY_REPLICAS("The cluster has the maximum number of replicas.", "Remove one first."),

	/** The event queue is full. */
	QUEUE_FULL("The event queue of the replica is full.", "Send it again after a pause.");

	private final String message;

	private final String remedy;

	Refusal(String message, String remedy) {
		this.message = message;
		this.remedy = remedy;
	}

	/**
	 * Returns the reason as text.
	 * @return one sentence
	 */
	public String message() {
		return this.message;
	}

	/**
	 * Returns the remedy.
	 * @return one sentence
	 */
	public String remedy() {
		return this.remedy;
	}

}
