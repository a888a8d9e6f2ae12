package io.verbenatrack.fleet.policy;

/**
 * Why a report is not followed.
 */
public enum IgnoreReason {

	/**
	 * The configuration in force lacks the service and the incarnation has no runs for
	 * it, or the incarnation belongs to another service.
	 */
	UNKNOWN_SERVICE,

	/** A report with a higher sequence number has arrived before. */
	OUTDATED,

	/** A newer incarnation of the worker has reported. */
	EARLIER_INCARNATION,

	/** A newer worker has reported from the same address. */
	ADDRESS_REUSED,

	/** Another incarnation holds the place of the worker under a valid lease. */
	PLACE_HELD

}
