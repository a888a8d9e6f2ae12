package io.verbenatrack.routing;

/**
 * Where a target stands between its announcement and its end, in order.
 */
public enum TargetPhase {

	/** It takes new requests. */
	SERVING,

	/** It finishes what it runs and gets nothing new. */
	LEAVING,

	/** Its lease ran out. */
	LEFT

}
