package io.verbenatrack.bench.routing;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual clock and event queue.
 */
final class VirtualTime {

	static final long MILLI = 1_000_000;

	static final long SECOND = 1000 * MILLI;

	private final PriorityQueue<Due> agenda = new PriorityQueue<>(
			Comparator.comparingLong(Due::atNanos).thenComparingLong(Due::sequence));

	private long now;

	private long sequence;

	long now() {
		return this.now;
	}

	void in(long delayNanos, Runnable action) {
		this.agenda.add(new Due(this.now + Math.max(0, delayNanos), this.sequence++, action));
	}

	void every(long intervalNanos, Runnable action) {
		in(intervalNanos, () -> {
			action.run();
			every(intervalNanos, action);
		});
	}

	void runUntil(long endNanos) {
		while (!this.agenda.isEmpty() && this.agenda.peek().atNanos() <= endNanos) {
			Due due = this.agenda.poll();
			this.now = due.atNanos();
			due.action().run();
		}
		this.now = endNanos;
	}

	private record Due(long atNanos, long sequence, Runnable action) {

	}

}
