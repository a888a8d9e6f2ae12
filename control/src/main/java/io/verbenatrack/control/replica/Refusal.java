package io.verbenatrack.control.replica;

/**
 * The reason for the refusal of a proposal.
 */
public enum Refusal {

	/** The command is larger than the limit. */
	COMMAND_TOO_LARGE("The command is too large for the log.", "Send a smaller one."),

	/** Another membership change is not committed yet. */
	MEMBERSHIP_CHANGE_PENDING("Another membership change is under way.", "Wait until it is done and send it again."),

	/**
	 * The change adds or removes more than one voter, or adds one that has not caught up.
	 */
	MEMBERSHIP_CHANGE_TOO_LARGE("The change is not of one replica by one step.",
			"Add a learner first, then make a caught-up learner a voter, one replica at a time."),

	/** The leader itself would be removed. */
	LEADER_REMOVED("The change would remove the replica that leads.",
			"Stop that replica gracefully and send it again."),

	/** The change would exceed the maximum number of replicas. */
	TOO_MANY_REPLICAS("There are as many replicas as there may be.", "Remove one first."),

	/** The event queue is full. */
	QUEUE_FULL("Too many proposals wait for the log.", "Send it again after a pause.");

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
