package io.verbenatrack.scheduling;

/**
 * What a worker reports of one member of a gang.
 */
public enum MemberReport {

	/** The accelerators are held and the member is ready to start. */
	PREPARED,

	/** The member runs. */
	STARTED,

	/** The member finished its work. */
	FINISHED,

	/** The member failed. */
	FAILED,

	/** The progress of the member was saved; it still runs. */
	CHECKPOINTED,

	/** The member was stopped and its accelerators are free. */
	STOPPED

}
