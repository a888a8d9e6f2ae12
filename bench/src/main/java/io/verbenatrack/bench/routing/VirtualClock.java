package io.verbenatrack.bench.routing;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual clock and event queue.
 */
final class VirtualClock {

	static final long NANOS_PER_MILLI = 1_000_000;

	static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;

	private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>(
			Comparator.comparingLong(ScheduledAction::atNanos).thenComparingLong(ScheduledAction::sequence));

	private long now;

	private long sequence;

	long now() {
		return this.now;
	}

	void schedule(long delayNanos, Runnable action) {
		this.queue.add(new ScheduledAction(this.now + Math.max(0, delayNanos), this.sequence++, action));
	}

	void scheduleRepeatedly(long intervalNanos, Runnable action) {
		schedule(intervalNanos, () -> {
			action.run();
			scheduleRepeatedly(intervalNanos, action);
		});
	}

	void runUntil(long endNanos) {
		while (!this.queue.isEmpty() && this.queue.peek().atNanos() <= endNanos) {
			ScheduledAction next = this.queue.poll();
			this.now = next.atNanos();
			next.action().run();
		}
		this.now = endNanos;
	}

	private record ScheduledAction(long atNanos, long sequence, Runnable action) {

	}

}
