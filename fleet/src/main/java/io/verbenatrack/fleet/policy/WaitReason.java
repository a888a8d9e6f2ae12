package io.verbenatrack.fleet.policy;

/**
 * Why a step waits.
 */
public enum WaitReason {

	/** No worker of its service may get tasks. */
	NO_WORKERS,

	/** The rules of the step exclude all workers. */
	NO_ELIGIBLE_WORKERS,

	/** The eligible workers are reserved for other steps. */
	RESERVED,

	/** Runs are being stopped for the step. */
	STOPS_UNDER_WAY,

	/** The eligible workers lack free resources. */
	OCCUPIED

}
