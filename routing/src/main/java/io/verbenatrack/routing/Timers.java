package io.verbenatrack.routing;

import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;

import io.verbenatrack.model.AttemptId;

/**
 * Orders what is due later; whoever receives a due timer checks that it still matters.
 */
final class Timers {

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
	 * What a timer is for.
	 */
	enum Kind {

		/** The caller stops waiting. */
		DEADLINE,

		/** A cancelled dispatch did not say whether it had begun. */
		CANCEL_GRACE,

		/** Look again whether the running send was answered. */
		RECHECK,

		/** The backoff of a retry is over. */
		RESUME,

		/** A second dispatch may pay. */
		HEDGE,

		/** An answer is no longer awaited for resends. */
		ABANDON

	}

	/**
	 * One thing that is due later.
	 *
	 * @param kind what for
	 * @param atNanos when
	 * @param sequence keeps the order of equal times
	 * @param exchange whose
	 * @param attempt whose, may be null
	 */
	record Timer(Kind kind, long atNanos, long sequence, ExchangeId exchange, AttemptId attempt) {

	}

}
