package io.verbenatrack.bench.control;

import java.util.List;

/**
 * When which faults strike.
 *
 * @param moments the moments at which faults begin
 */
record FaultPlan(List<Moment> moments) {

	/**
	 * Faults that begin together.
	 *
	 * @param atNanos when
	 * @param faults which
	 */
	record Moment(long atNanos, List<Fault> faults) {

	}

	/**
	 * One fault.
	 *
	 * @param kind the kind
	 * @param victim which replica, counted from the leader of the moment on
	 * @param durationNanos how long it lasts
	 */
	record Fault(FaultKind kind, int victim, long durationNanos) {

	}

}
