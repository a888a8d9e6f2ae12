package io.verbenatrack.scheduling;

/**
 * The kinds of report that a worker sends about a member of a gang.
 */
public enum MemberReport {

	/** The accelerators are held and the member is ready to start. */
	PREPARED,

	/** The member is running. */
	STARTED,

	/** The member finished its work. */
	FINISHED,

	/** The member failed. */
	FAILED,

	/** The member saved a checkpoint and is still running. */
	CHECKPOINTED,

	/** The member has stopped and its accelerators are free. */
	STOPPED

}
