package io.verbenatrack.fleet.model;

/**
 * How far a job is.
 */
public enum JobPhase {

	/** No task has started. */
	PENDING,

	/** A task has started. */
	RUNNING,

	/** Every task has ended as done. */
	COMPLETED,

	/** A task or gang failed as often as it may. */
	FAILED,

	/** The caller cancelled it. */
	CANCELLED;

	/**
	 * Whether nothing of the job starts any more.
	 * @return whether it has ended
	 */
	public boolean ended() {
		return this == COMPLETED || this == FAILED || this == CANCELLED;
	}

}
