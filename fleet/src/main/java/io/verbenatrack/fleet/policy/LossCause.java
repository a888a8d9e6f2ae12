package io.verbenatrack.fleet.policy;

/**
 * Why the leader takes a run for lost, so that its task may start again.
 */
public enum LossCause {

	/** The lease of the worker has expired. */
	LEASE_EXPIRED,

	/**
	 * The worker has not reported in this term, and every lease of earlier terms has
	 * expired.
	 */
	INHERITED_LEASE_EXPIRED,

	/** A newer incarnation of the worker has reported. */
	NEWER_INCARNATION,

	/** A newer worker has reported from the same address. */
	ADDRESS_REUSED,

	/** Reports of the worker that must list the run lack it. */
	MISSING_IN_REPORTS,

	/** No response has carried the start of the run. */
	START_NOT_SENT,

	/**
	 * No response has carried the start of the run, and an operator evacuates the zone of
	 * its worker.
	 */
	ZONE_EVACUATED,

	/**
	 * No response has carried the start of the run, and the configuration in force lacks
	 * the service of its worker.
	 */
	SERVICE_REMOVED

}
