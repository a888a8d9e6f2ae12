package io.verbenatrack.bench.control;

import java.util.List;

/**
 * Plan of the faults to inject during a schedule.
 *
 * @param groups the groups of faults
 */
record FaultPlan(List<FaultGroup> groups) {

	/**
	 * Group of faults that start at the same time.
	 *
	 * @param startNanos the start in virtual time, in nanoseconds
	 * @param faults the faults
	 */
	record FaultGroup(long startNanos, List<Fault> faults) {

	}

	/**
	 * One fault.
	 *
	 * @param kind the kind of fault
	 * @param replicaOffset the affected replica, as an offset from the current leader
	 * @param durationNanos the duration in nanoseconds
	 */
	record Fault(FaultKind kind, int replicaOffset, long durationNanos) {

	}

}
