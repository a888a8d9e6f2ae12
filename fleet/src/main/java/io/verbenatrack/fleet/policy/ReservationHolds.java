package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import io.verbenatrack.fleet.model.TaskId;

/**
 * Limits how long a gang keeps workers reserved on a fleet that is mostly idle. There the
 * reservation keeps others waiting beside idle workers, and a gang that did not start
 * when it was expected to may wait for something that does not end.
 */
final class ReservationHolds {

	/** How long a reservation continues after the gang should have started. */
	private static final long MAX_OVERDUE_NANOS = Duration.ofSeconds(2).toNanos();

	/** The maximum duration of a reservation. */
	private static final long MAX_HOLD_NANOS = Duration.ofSeconds(10).toNanos();

	/** The time without a reservation before the gang gets another one. */
	private static final long PAUSE_NANOS = Duration.ofSeconds(10).toNanos();

	private final Map<TaskId, Hold> holds = new HashMap<>();

	/**
	 * Returns whether a gang may reserve workers.
	 * @param gang the first member of the gang
	 * @param expectedWaitNanos the time until the gang is expected to start
	 * @param mostlyIdle whether most resources of the service are idle
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 * @return whether its reservation has not lasted too long
	 */
	boolean mayReserve(TaskId gang, long expectedWaitNanos, boolean mostlyIdle, long nowNanos) {
		long endNanos = nowNanos + Math.min(expectedWaitNanos + MAX_OVERDUE_NANOS, MAX_HOLD_NANOS);
		Hold hold = this.holds.computeIfAbsent(gang, (added) -> new Hold(endNanos));
		if (nowNanos - hold.endNanos() >= PAUSE_NANOS) {
			hold = new Hold(endNanos);
			this.holds.put(gang, hold);
		}
		return !mostlyIdle || nowNanos - hold.endNanos() < 0;
	}

	/**
	 * Forgets all other gangs.
	 * @param waiting the first members of the gangs that wait
	 */
	void retain(Set<TaskId> waiting) {
		this.holds.keySet().retainAll(waiting);
	}

	/**
	 * The reservation of a gang.
	 *
	 * @param endNanos when it ends on a fleet that is mostly idle, in nanoseconds of the
	 * monotonic clock
	 */
	private record Hold(long endNanos) {

	}

}
