package io.verbenatrack.fleet.model;

/**
 * The phase of a job.
 */
public enum JobPhase {

	/** Accepted; no worker has begun a task. */
	PENDING,

	/** A worker has begun at least one task. */
	RUNNING,

	/** Every task is done. */
	COMPLETED,

	/** A task or gang has used up its attempts. */
	FAILED,

	/** Cancelled by the caller. */
	CANCELLED;

	/**
	 * Returns whether the phase is final, so that no task of the job starts any more.
	 * @return whether the job has ended
	 */
	public boolean ended() {
		return this == COMPLETED || this == FAILED || this == CANCELLED;
	}

}
