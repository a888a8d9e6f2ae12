package io.verbenatrack.fleet.policy;

/**
 * Why a report is not followed.
 */
public enum IgnoreReason {

	/**
	 * The configuration in force does not name the service, or the incarnation has
	 * reported for another one.
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
