package io.verbenatrack.fleet.policy;

/**
 * Why an order about the evacuation of an availability zone is refused.
 */
public enum EvacuationRefusal {

	/** No setting, worker or earlier order names the zone. */
	UNKNOWN_ZONE,

	/** The order waited so long that its sender has given up. */
	WAITED_TOO_LONG,

	/** As many zones are evacuated as may be. */
	TOO_MANY_ZONES

}
