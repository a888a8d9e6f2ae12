package io.verbenatrack.bench.control;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual clock and event queue of a schedule. Actions with equal times run in the order
 * in which they were added.
 */
final class VirtualTime {

	private final PriorityQueue<Moment> moments = new PriorityQueue<>(
			Comparator.comparingLong(Moment::nanos).thenComparingLong(Moment::order));

	private long nowNanos;

	private long asked;

	long nowNanos() {
		return this.nowNanos;
	}

	void after(long delayNanos, Runnable action) {
		this.moments.add(new Moment(this.nowNanos + Math.max(0, delayNanos), this.asked++, action));
	}

	/**
	 * Advances the clock to the next action and runs it.
	 * @param untilNanos the time limit in nanoseconds
	 * @return whether an action was due within the limit
	 */
	boolean step(long untilNanos) {
		Moment next = this.moments.peek();
		if (next == null || next.nanos() > untilNanos) {
			this.nowNanos = untilNanos;
			return false;
		}
		this.moments.poll();
		this.nowNanos = next.nanos();
		next.action().run();
		return true;
	}

	private record Moment(long nanos, long order, Runnable action) {

	}

}
