package io.verbenatrack.model;

/**
 * How soon a job has to start.
 */
public enum Urgency {

	/**
	 * The job starts within the declared bound. Borrowed accelerators are reclaimed if
	 * necessary.
	 */
	URGENT,

	/** The job starts in queue order. */
	NORMAL

}
