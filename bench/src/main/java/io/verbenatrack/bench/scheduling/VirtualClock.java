package io.verbenatrack.bench.scheduling;

import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual clock and event queue.
 */
final class VirtualClock {

	private static final Comparator<ScheduledAction> ORDER = Comparator.comparingLong(ScheduledAction::atMs)
		.thenComparingLong(ScheduledAction::sequence);

	private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>(ORDER);

	private long nowMs;

	private long sequence;

	long nowMs() {
		return this.nowMs;
	}

	Instant instant() {
		return Instant.ofEpochMilli(this.nowMs);
	}

	void schedule(long delayMs, Runnable action) {
		this.queue.add(new ScheduledAction(this.nowMs + delayMs, this.sequence++, action));
	}

	void runNext() {
		ScheduledAction next = this.queue.remove();
		this.nowMs = next.atMs();
		next.action().run();
	}

	private record ScheduledAction(long atMs, long sequence, Runnable action) {

	}

}
