package io.verbenatrack.bench.control;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The time of a schedule and what happens when; equal times happen in the order in which
 * they were asked for.
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
	 * Lets the next thing happen.
	 * @param untilNanos the latest time
	 * @return whether there was one by then
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
