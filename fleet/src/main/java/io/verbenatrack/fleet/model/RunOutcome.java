package io.verbenatrack.fleet.model;

/**
 * The outcome of a run.
 */
public enum RunOutcome {

	/** The task is done. */
	DONE,

	/** The run failed, because of the task or of the worker. */
	FAILED,

	/** The run was stopped at the request of the leader. */
	STOPPED,

	/** The lease of the worker expired. */
	LAPSED,

	/** Another member of the gang ended. */
	BROKEN,

	/** The other members of the gang did not start in time. */
	ALONE,

	/** The worker refused to start the run. */
	REFUSED,

	/** The worker was lost, so the end is not reported. */
	LOST;

	/**
	 * Returns whether the run certainly began.
	 * @return whether the worker had started the run before it ended
	 */
	public boolean begun() {
		return this != REFUSED && this != LOST;
	}

}
