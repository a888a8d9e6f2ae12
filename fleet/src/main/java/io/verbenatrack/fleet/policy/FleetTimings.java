package io.verbenatrack.fleet.policy;

import java.time.Duration;

/**
 * How long the fleet's leader waits.
 *
 * @param lease how long a worker may run on after a heartbeat that was answered
 * @param leaseMargin added before a run counts as lost: two clocks drift apart, and an
 * answer is under way for a while
 * @param workerSilence the longest silence after which a worker of a small fleet gets new
 * work
 * @param report when a worker of a small fleet reports again
 * @param preemptAfter how long a guaranteed job waits before it preempts others
 */
public record FleetTimings(Duration lease, Duration leaseMargin, Duration workerSilence, Duration report,
		Duration preemptAfter) {

	/** The longest drift between two steady clocks. */
	private static final double CLOCK_DRIFT = 0.03;

	/** The way of an answer, and the pause before a worker looks at its leases. */
	private static final Duration LEASE_MARGIN = Duration.ofMillis(250);

	/** Several times the pause between two reports. */
	private static final Duration WORKER_SILENCE = Duration.ofMillis(1200);

	/** Short against a task's run time; 33 workers then send 165 reports a second. */
	private static final Duration REPORT = Duration.ofMillis(200);

	/** A leader with 1.2 cores takes 1,000 reports a second beside its decisions. */
	private static final Duration REPORT_PER_WORKER = Duration.ofMillis(1);

	/** A worker counts as silent when it missed more reports than this. */
	private static final int MISSED_REPORTS = 3;

	/**
	 * Workers that stop a run and report take a second more; short urgent jobs have less
	 * than two.
	 */
	private static final Duration PREEMPT_AFTER = Duration.ofMillis(150);

	/**
	 * The usual timings.
	 * @param lease how long a worker may run on after a heartbeat that was answered
	 * @return the timings
	 */
	public static FleetTimings withLease(Duration lease) {
		return new FleetTimings(lease, LEASE_MARGIN, WORKER_SILENCE, REPORT, PREEMPT_AFTER);
	}

	/**
	 * When a worker reports again, so that the reports of all are not too many.
	 * @param workers how many workers there are
	 * @return the pause between two reports of one worker
	 */
	public Duration report(int workers) {
		return longer(this.report, REPORT_PER_WORKER.multipliedBy(workers));
	}

	/**
	 * The longest silence after which a worker gets new work.
	 * @param workers how many workers there are
	 * @return the silence
	 */
	public Duration workerSilence(int workers) {
		return longer(this.workerSilence, report(workers).multipliedBy(MISSED_REPORTS));
	}

	private static Duration longer(Duration one, Duration other) {
		return (one.compareTo(other) >= 0) ? one : other;
	}

	/**
	 * The longest that a worker may take a lease to last, on our clock.
	 * @return nanoseconds
	 */
	public long worstLeaseNanos() {
		return (long) (this.lease.toNanos() * (1 + CLOCK_DRIFT)) + this.leaseMargin.toNanos();
	}

}
