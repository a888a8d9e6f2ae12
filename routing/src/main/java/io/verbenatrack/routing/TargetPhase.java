package io.verbenatrack.routing;

/**
 * The life cycle of a target. When updates conflict, the later phase in this order wins.
 */
public enum TargetPhase {

	/** The target accepts new requests. */
	SERVING,

	/** The target finishes its running requests and gets no new ones. */
	LEAVING,

	/** The lease of the target expired. */
	LEFT

}
