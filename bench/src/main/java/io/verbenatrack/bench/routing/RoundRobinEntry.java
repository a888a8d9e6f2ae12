package io.verbenatrack.bench.routing;

import java.util.List;

import io.verbenatrack.model.AccountId;

/**
 * Baseline entry: round robin over all targets, without concurrency limits, with a fixed
 * number of attempts.
 */
final class RoundRobinEntry implements Entry {

	private static final long HOP_NANOS = VirtualTime.MILLI;

	private final VirtualTime time;

	private final List<VirtualTarget> targets;

	private final VirtualCaller caller;

	private final long timeoutNanos;

	private final int maximumAttempts;

	private int next;

	RoundRobinEntry(VirtualTime time, List<VirtualTarget> targets, VirtualCaller caller, long timeoutNanos,
			int maximumAttempts) {
		this.time = time;
		this.targets = targets;
		this.caller = caller;
		this.timeoutNanos = timeoutNanos;
		this.maximumAttempts = maximumAttempts;
	}

	@Override
	public void accept(AccountId account, boolean idempotent) {
		this.caller.offered();
		Waiting waiting = new Waiting(account, this.time.now());
		attempt(waiting, 1);
	}

	private void attempt(Waiting waiting, int number) {
		VirtualTarget target = this.targets.get(Math.floorMod(this.next++, this.targets.size()));
		Runnable retry = once(() -> {
			boolean inTime = this.time.now() < waiting.sentNanos + this.timeoutNanos;
			if (!waiting.answered && number < this.maximumAttempts && inTime) {
				attempt(waiting, number + 1);
			}
		});
		this.time.in(HOP_NANOS, () -> target.receive(() -> this.time.in(HOP_NANOS, () -> answer(waiting)), retry));
		if (this.maximumAttempts > 1) {
			this.time.in(this.timeoutNanos / this.maximumAttempts, retry);
		}
	}

	private void answer(Waiting waiting) {
		if (!waiting.answered) {
			waiting.answered = true;
			this.caller.answered(waiting.account, waiting.sentNanos, waiting.sentNanos + this.timeoutNanos);
		}
	}

	private static Runnable once(Runnable action) {
		boolean[] done = new boolean[1];
		return () -> {
			if (!done[0]) {
				done[0] = true;
				action.run();
			}
		};
	}

	private static final class Waiting {

		private final AccountId account;

		private final long sentNanos;

		private boolean answered;

		private Waiting(AccountId account, long sentNanos) {
			this.account = account;
			this.sentNanos = sentNanos;
		}

	}

}
