package io.verbenatrack.bench.routing;

import java.util.HashMap;
import java.util.Map;

import org.HdrHistogram.Histogram;

import io.verbenatrack.model.AccountId;

/**
 * Records the outcomes that callers receive during the measurement window.
 */
final class VirtualCaller {

	private static final int DIGITS = 3;

	private final VirtualTime time;

	private final long fromNanos;

	private final long untilNanos;

	private final Histogram answers = new Histogram(DIGITS);

	private final Histogram refusals = new Histogram(DIGITS);

	private final Map<AccountId, Integer> answeredByAccount = new HashMap<>();

	private int offered;

	VirtualCaller(VirtualTime time, long fromNanos, long untilNanos) {
		this.time = time;
		this.fromNanos = fromNanos;
		this.untilNanos = untilNanos;
	}

	void offered() {
		this.offered += counts() ? 1 : 0;
	}

	void answered(AccountId account, long sentNanos, long deadlineNanos) {
		if (counts() && this.time.now() <= deadlineNanos) {
			this.answers.recordValue(this.time.now() - sentNanos);
			this.answeredByAccount.merge(account, 1, Integer::sum);
		}
	}

	void refused(long sentNanos) {
		if (counts()) {
			this.refusals.recordValue(this.time.now() - sentNanos);
		}
	}

	private boolean counts() {
		return this.time.now() >= this.fromNanos && this.time.now() < this.untilNanos;
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
		return this.answers.getValueAtPercentile(99) / (double) VirtualTime.MILLI;
	}

	double refusalP99Millis() {
		return this.refusals.getValueAtPercentile(99) / (double) VirtualTime.MILLI;
	}

}
