package io.verbenatrack.fleet.policy;

import java.time.Duration;

/**
 * How long the fleet's leader waits.
 *
 * @param lease how long a worker may run on after a heartbeat that was answered
 * @param leaseMargin added before a run counts as lost: two clocks drift apart, and an
 * answer is under way for a while
 * @param silenceTimeout the longest silence after which a worker of a small fleet gets
 * new work
 * @param reportInterval when a worker of a small fleet reports again
 * @param preemptionDelay how long a guaranteed job waits before it preempts others
 */
public record FleetTimings(Duration lease, Duration leaseMargin, Duration silenceTimeout, Duration reportInterval,
		Duration preemptionDelay) {

	/** The longest drift between two steady clocks. */
	private static final double MAX_CLOCK_DRIFT = 0.03;

	/** The way of an answer, and the pause before a worker looks at its leases. */
	private static final Duration LEASE_MARGIN = Duration.ofMillis(250);

	/** Several times the pause between two reports. */
	private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(1200);

	/** Short against a task's run time; 33 workers then send 165 reports a second. */
	private static final Duration REPORT_INTERVAL = Duration.ofMillis(200);

	/** A leader with 1.2 cores takes 1,000 reports a second beside its decisions. */
	private static final Duration REPORT_INTERVAL_PER_WORKER = Duration.ofMillis(1);

	/** A worker counts as silent when it missed more reports than this. */
	private static final int MAX_MISSED_REPORTS = 3;

	/**
	 * Workers that stop a run and report take a second more; short urgent jobs have less
	 * than two.
	 */
	private static final Duration PREEMPTION_DELAY = Duration.ofMillis(150);

	/**
	 * The usual timings.
	 * @param lease how long a worker may run on after a heartbeat that was answered
	 * @return the timings
	 */
	public static FleetTimings withLease(Duration lease) {
		return new FleetTimings(lease, LEASE_MARGIN, SILENCE_TIMEOUT, REPORT_INTERVAL, PREEMPTION_DELAY);
	}

	/**
	 * When a worker reports again, so that the reports of all are not too many.
	 * @param workers how many workers there are
	 * @return the pause between two reports of one worker
	 */
	public Duration reportInterval(int workers) {
		return max(this.reportInterval, REPORT_INTERVAL_PER_WORKER.multipliedBy(workers));
	}

	/**
	 * The longest silence after which a worker gets new work.
	 * @param workers how many workers there are
	 * @return the silence
	 */
	public Duration silenceTimeout(int workers) {
		return max(this.silenceTimeout, reportInterval(workers).multipliedBy(MAX_MISSED_REPORTS));
	}

	private static Duration max(Duration first, Duration second) {
		return (first.compareTo(second) >= 0) ? first : second;
	}

	/**
	 * The longest that a worker may take a lease to last, on our clock.
	 * @return nanoseconds
	 */
	public long maxLeaseNanos() {
		return (long) (this.lease.toNanos() * (1 + MAX_CLOCK_DRIFT)) + this.leaseMargin.toNanos();
	}

}
