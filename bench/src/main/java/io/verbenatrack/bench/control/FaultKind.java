package io.verbenatrack.bench.control;

import java.util.Locale;

/**
 * What goes wrong in a schedule.
 */
public enum FaultKind {

	/** The process dies and stays away until the end of the fault. */
	PROCESS_DEATH,

	/** The process dies and starts again soon. */
	RESTART,

	/** Nothing reaches the replica and nothing leaves it; nobody is told. */
	PARTITION_BOTH,

	/** Nothing reaches the replica; nobody is told. */
	PARTITION_IN,

	/** Nothing leaves the replica; nobody is told. */
	PARTITION_OUT,

	/** Each sync takes long. */
	SLOW_DISK,

	/** Writes fail. */
	DISK_FULL,

	/** The process dies in the middle of a write and starts again. */
	TORN_WRITE,

	/** The disk is gone, and the process starts with an empty one. */
	DISK_LOST,

	/** Messages are lost. */
	MESSAGE_LOSS,

	/** Messages arrive twice. */
	MESSAGE_DUPLICATION,

	/** Messages overtake each other. */
	MESSAGE_REORDERING,

	/** The clock of the replica is set and runs at another rate. */
	CLOCK_STEP,

	/** The process stands still for a while. */
	PAUSE;

	/**
	 * The name as files write it.
	 * @return lower case with dashes
	 */
	public String fileName() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
