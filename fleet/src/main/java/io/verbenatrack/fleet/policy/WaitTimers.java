package io.verbenatrack.fleet.policy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.verbenatrack.fleet.model.TaskId;

/**
 * Measures how long tasks wait for a start. A task that runs in between waits anew.
 */
final class WaitTimers {

	private final Map<TaskId, Long> sinceNanos = new HashMap<>();

	private final Set<TaskId> waiting = new HashSet<>();

	/** Begins a pass over all waiting tasks. */
	void beginPass() {
		this.waiting.clear();
	}

	/**
	 * Records that a task waits. Must be called in each pass, or its time begins anew.
	 * @param task the task, or the first member of its gang
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 */
	void recordWaiting(TaskId task, long nowNanos) {
		this.waiting.add(task);
		this.sinceNanos.putIfAbsent(task, nowNanos);
	}

	/** Ends a pass, and forgets the tasks that no longer wait. */
	void endPass() {
		this.sinceNanos.keySet().retainAll(this.waiting);
	}

	/**
	 * Returns how long a task has been waiting.
	 * @param task the task, or the first member of its gang
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 * @return the time in nanoseconds, 0 if it was not recorded
	 */
	long waitedNanos(TaskId task, long nowNanos) {
		Long since = this.sinceNanos.get(task);
		return (since != null) ? nowNanos - since : 0;
	}

}
