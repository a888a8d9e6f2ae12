package io.verbenatrack.bench.scheduling;

import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual clock and event queue.
 */
final class VirtualClock {

	private static final Comparator<Timed> ORDER = Comparator.comparingLong(Timed::atMs)
		.thenComparingLong(Timed::sequence);

	private final PriorityQueue<Timed> queue = new PriorityQueue<>(ORDER);

	private long nowMs;

	private long sequence;

	long nowMs() {
		return this.nowMs;
	}

	Instant instant() {
		return Instant.ofEpochMilli(this.nowMs);
	}

	void after(long delayMs, Runnable action) {
		this.queue.add(new Timed(this.nowMs + delayMs, this.sequence++, action));
	}

	void runNext() {
		Timed next = this.queue.remove();
		this.nowMs = next.atMs();
		next.action().run();
	}

	private record Timed(long atMs, long sequence, Runnable action) {

	}

}
