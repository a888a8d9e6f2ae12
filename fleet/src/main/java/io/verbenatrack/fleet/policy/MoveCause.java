package io.verbenatrack.fleet.policy;

/**
 * Why a run is stopped to be restarted on another worker.
 */
public enum MoveCause {

	/** It made no progress for longer than expected. */
	STALLED,

	/** Its worker became much slower, and by the forecast it ends sooner elsewhere. */
	WORKER_SLOWED

}
