package io.verbenatrack.bench.control;

import java.util.List;

/**
 * Plan of the faults to inject during a schedule.
 *
 * @param moments the groups of faults
 */
record FaultPlan(List<Moment> moments) {

	/**
	 * Group of faults that start at the same time.
	 *
	 * @param atNanos the start in virtual time, in nanoseconds
	 * @param faults the faults
	 */
	record Moment(long atNanos, List<Fault> faults) {

	}

	/**
	 * One fault.
	 *
	 * @param kind the kind of fault
	 * @param victim the affected replica, as an offset from the current leader
	 * @param durationNanos the duration in nanoseconds
	 */
	record Fault(FaultKind kind, int victim, long durationNanos) {

	}

}
