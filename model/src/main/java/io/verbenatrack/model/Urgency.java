package io.verbenatrack.model;

/**
 * How soon a job has to start.
 */
public enum Urgency {

	/** Starts within the declared bound, reclaiming borrowed accelerators if it must. */
	URGENT,

	/** Starts in its turn. */
	NORMAL

}
