package io.verbenatrack.bench.routing;

import java.util.List;

import io.verbenatrack.model.AccountId;

/**
 * Baseline entry: round robin over all targets, without concurrency limits, with a fixed
 * number of attempts.
 */
final class RoundRobinEntry implements SimulatedEntry {

	private static final long LINK_NANOS = VirtualClock.NANOS_PER_MILLI;

	private final VirtualClock clock;

	private final List<SimulatedTarget> targets;

	private final CallerStatistics caller;

	private final long timeoutNanos;

	private final int maximumAttempts;

	private int next;

	RoundRobinEntry(VirtualClock clock, List<SimulatedTarget> targets, CallerStatistics caller, long timeoutNanos,
			int maximumAttempts) {
		this.clock = clock;
		this.targets = targets;
		this.caller = caller;
		this.timeoutNanos = timeoutNanos;
		this.maximumAttempts = maximumAttempts;
	}

	@Override
	public void accept(AccountId account, boolean idempotent) {
		this.caller.offered();
		PendingRequest request = new PendingRequest(account, this.clock.now());
		attempt(request, 1);
	}

	private void attempt(PendingRequest request, int number) {
		SimulatedTarget target = this.targets.get(Math.floorMod(this.next++, this.targets.size()));
		Runnable retry = runAtMostOnce(() -> {
			boolean inTime = this.clock.now() < request.sentNanos + this.timeoutNanos;
			if (!request.answered && number < this.maximumAttempts && inTime) {
				attempt(request, number + 1);
			}
		});
		this.clock.schedule(LINK_NANOS,
				() -> target.receive(() -> this.clock.schedule(LINK_NANOS, () -> answer(request)), retry));
		if (this.maximumAttempts > 1) {
			this.clock.schedule(this.timeoutNanos / this.maximumAttempts, retry);
		}
	}

	private void answer(PendingRequest request) {
		if (!request.answered) {
			request.answered = true;
			this.caller.answered(request.account, request.sentNanos, request.sentNanos + this.timeoutNanos);
		}
	}

	private static Runnable runAtMostOnce(Runnable action) {
		boolean[] done = new boolean[1];
		return () -> {
			if (!done[0]) {
				done[0] = true;
				action.run();
			}
		};
	}

	private static final class PendingRequest {

		private final AccountId account;

		private final long sentNanos;

		private boolean answered;

		private PendingRequest(AccountId account, long sentNanos) {
			this.account = account;
			this.sentNanos = sentNanos;
		}

	}

}
