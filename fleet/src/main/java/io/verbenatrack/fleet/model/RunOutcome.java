package io.verbenatrack.fleet.model;

/**
 * How a run of a task ended.
 */
public enum RunOutcome {

	/** The task is done. */
	DONE,

	/** The run failed, through the task's own fault or the worker's. */
	FAILED,

	/** It was stopped on our order. */
	STOPPED,

	/** Its lease ran out. */
	LAPSED,

	/** Another member of its gang ended. */
	BROKEN,

	/** The other members of its gang did not come in time. */
	ALONE,

	/** The worker did not start it. */
	REFUSED,

	/** The worker was lost, so that nobody reports the end. */
	LOST

}
