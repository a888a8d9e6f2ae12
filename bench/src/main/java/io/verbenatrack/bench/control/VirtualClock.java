package io.verbenatrack.bench.control;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual clock and event queue of a schedule. Actions with equal times run in the order
 * in which they were added.
 */
final class VirtualClock {

	private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>(
			Comparator.comparingLong(ScheduledAction::atNanos).thenComparingLong(ScheduledAction::sequence));

	private long nowNanos;

	private long nextSequence;

	long nowNanos() {
		return this.nowNanos;
	}

	void schedule(long delayNanos, Runnable action) {
		this.queue.add(new ScheduledAction(this.nowNanos + Math.max(0, delayNanos), this.nextSequence++, action));
	}

	/**
	 * Advances the clock to the next action and runs it.
	 * @param untilNanos the time limit in nanoseconds
	 * @return whether an action was due within the limit
	 */
	boolean runNext(long untilNanos) {
		ScheduledAction next = this.queue.peek();
		if (next == null || next.atNanos() > untilNanos) {
			this.nowNanos = untilNanos;
			return false;
		}
		this.queue.poll();
		this.nowNanos = next.atNanos();
		next.action().run();
		return true;
	}

	private record ScheduledAction(long atNanos, long sequence, Runnable action) {

	}

}
