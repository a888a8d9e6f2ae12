package io.verbenatrack.routing;

import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;

import io.verbenatrack.model.AttemptId;

/**
 * A queue of timers. TimerQueue are never cancelled; whoever handles a due timer checks
 * that it still applies.
 */
final class TimerQueue {

	private final PriorityQueue<Timer> queue = new PriorityQueue<>(
			Comparator.comparingLong(Timer::atNanos).thenComparingLong(Timer::sequence));

	private long sequence;

	void schedule(Kind kind, long atNanos, ExchangeId exchange, AttemptId attempt) {
		this.queue.add(new Timer(kind, atNanos, this.sequence++, exchange, attempt));
	}

	Optional<Timer> pollDue(long nowNanos) {
		Timer head = this.queue.peek();
		return (head != null && head.atNanos() <= nowNanos) ? Optional.of(this.queue.poll()) : Optional.empty();
	}

	OptionalLong next() {
		Timer head = this.queue.peek();
		return (head != null) ? OptionalLong.of(head.atNanos()) : OptionalLong.empty();
	}

	/**
	 * The action that a timer triggers.
	 */
	enum Kind {

		/** The deadline of the request passes. */
		DEADLINE,

		/** The wait for the end of cancelled dispatches is over. */
		CANCEL_GRACE,

		/** The claim is tried again, to see whether the earlier send was answered. */
		RECHECK,

		/** The backoff before a retry is over. */
		RESUME,

		/** A hedged dispatch may be worthwhile. */
		HEDGE,

		/** The wait for a late answer, to be stored for resends, is over. */
		ABANDON

	}

	/**
	 * One timer.
	 *
	 * @param kind the action to trigger
	 * @param atNanos the due time on the monotonic clock in nanoseconds
	 * @param sequence the position among timers with the same due time
	 * @param exchange the exchange that the timer belongs to
	 * @param attempt the dispatch that the timer belongs to, may be null
	 */
	record Timer(Kind kind, long atNanos, long sequence, ExchangeId exchange, AttemptId attempt) {

	}

}
