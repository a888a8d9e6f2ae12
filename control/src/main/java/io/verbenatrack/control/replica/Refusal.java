package io.verbenatrack.control.replica;

/**
 * Why a proposal was refused.
 */
public enum Refusal {

	/** The command is larger than the limit. */
	COMMAND_TOO_LARGE("The command is too large for the log.", "Send a smaller one."),

	/** Another membership change is not committed yet. */
	MEMBERSHIP_CHANGE_PENDING("Another membership change is under way.", "Wait until it is done and send it again."),

	/** The change adds or removes more than one vote, or one that is not caught up. */
	MEMBERSHIP_CHANGE_TOO_LARGE("The change is not of one replica by one step.",
			"Add a learner first, then make a caught-up learner a voter, one replica at a time."),

	/** The leader itself would be removed. */
	LEADER_REMOVED("The change would remove the replica that leads.",
			"Stop that replica gracefully and send it again."),

	/** There would be too many replicas. */
	TOO_MANY_REPLICAS("There are as many replicas as there may be.", "Remove one first."),

	/** Too many events wait. */
	QUEUE_FULL("Too many proposals wait for the log.", "Send it again after a pause.");

	private final String message;

	private final String remedy;

	Refusal(String message, String remedy) {
		this.message = message;
		this.remedy = remedy;
	}

	/**
	 * What was found.
	 * @return one sentence
	 */
	public String message() {
		return this.message;
	}

	/**
	 * What to do.
	 * @return one sentence
	 */
	public String remedy() {
		return this.remedy;
	}

}
