package io.verbenatrack.bench.routing;

import java.util.HashMap;
import java.util.Map;

import org.HdrHistogram.Histogram;

import io.verbenatrack.model.AccountId;

/**
 * Records the outcomes that callers receive during the measurement window.
 */
final class CallerStatistics {

	private static final int SIGNIFICANT_DIGITS = 3;

	private final VirtualClock clock;

	private final long fromNanos;

	private final long untilNanos;

	private final Histogram answers = new Histogram(SIGNIFICANT_DIGITS);

	private final Histogram refusals = new Histogram(SIGNIFICANT_DIGITS);

	private final Map<AccountId, Integer> answeredByAccount = new HashMap<>();

	private int offered;

	CallerStatistics(VirtualClock clock, long fromNanos, long untilNanos) {
		this.clock = clock;
		this.fromNanos = fromNanos;
		this.untilNanos = untilNanos;
	}

	void offered() {
		this.offered += inWindow() ? 1 : 0;
	}

	void answered(AccountId account, long sentNanos, long deadlineNanos) {
		if (inWindow() && this.clock.now() <= deadlineNanos) {
			this.answers.recordValue(this.clock.now() - sentNanos);
			this.answeredByAccount.merge(account, 1, Integer::sum);
		}
	}

	void refused(long sentNanos) {
		if (inWindow()) {
			this.refusals.recordValue(this.clock.now() - sentNanos);
		}
	}

	private boolean inWindow() {
		return this.clock.now() >= this.fromNanos && this.clock.now() < this.untilNanos;
	}

	int offeredCount() {
		return this.offered;
	}

	long answeredCount() {
		return this.answers.getTotalCount();
	}

	int answeredOf(AccountId account) {
		return this.answeredByAccount.getOrDefault(account, 0);
	}

	double answerP99Millis() {
		return this.answers.getValueAtPercentile(99) / (double) VirtualClock.NANOS_PER_MILLI;
	}

	double refusalP99Millis() {
		return this.refusals.getValueAtPercentile(99) / (double) VirtualClock.NANOS_PER_MILLI;
	}

}
