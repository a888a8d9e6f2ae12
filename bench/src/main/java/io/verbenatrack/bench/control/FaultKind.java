package io.verbenatrack.bench.control;

import java.util.Locale;

/**
 * Kinds of faults that schedules inject.
 */
public enum FaultKind {

	/** The process crashes and restarts at the end of the fault. */
	PROCESS_DEATH,

	/** The process crashes and restarts after 50 to 500 ms. */
	RESTART,

	/** Messages to and from the replica are silently dropped. */
	PARTITION_BOTH,

	/** Messages to the replica are silently dropped. */
	PARTITION_IN,

	/** Messages from the replica are silently dropped. */
	PARTITION_OUT,

	/** Each disk sync is slow. */
	SLOW_DISK,

	/** Disk writes fail. */
	DISK_FULL,

	/** The process crashes during a write and restarts after 50 to 500 ms. */
	TORN_WRITE,

	/** The disk is lost, and the process restarts with an empty disk. */
	DISK_LOST,

	/** Messages are dropped at random. */
	MESSAGE_LOSS,

	/** Messages are duplicated at random. */
	MESSAGE_DUPLICATION,

	/** Messages are reordered. */
	MESSAGE_REORDERING,

	/** The wall clock of the replica jumps, and its monotonic clock drifts. */
	CLOCK_STEP,

	/** The wall clock of the replica jumps back and forth by 0.1 to 5 s. */
	CLOCK_JUMPS,

	/** The process pauses, as in a long garbage collection. */
	PAUSE,

	/** The machine is suspended for up to 8 s, and its monotonic clock stops. */
	SUSPENSION;

	/**
	 * Returns the name used in expectation files and reports.
	 * @return the constant's name in lower case with hyphens
	 */
	public String fileName() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
