package io.verbenatrack.fleet.policy;

import java.time.Duration;

/**
 * The timing parameters of the leader of the fleet.
 *
 * @param lease how long the runs of a worker may continue after a heartbeat that was
 * answered
 * @param leaseMargin added to the lease before a run counts as lost, for network latency
 * and the interval at which a worker checks its leases
 * @param silenceTimeout the maximum silence of a worker that still gets new tasks, in a
 * small fleet
 * @param reportInterval the interval between two reports of a worker, in a small fleet
 * @param preemptionDelay how long a step waits before it may preempt others
 * @param endedJobRetention how long calls about a job are answered after it has ended, at
 * least
 * @param learnedRunTimes whether forecasts use learned run times and worker speeds, and
 * not only the estimates of the callers
 */
public record FleetTimings(Duration lease, Duration leaseMargin, Duration silenceTimeout, Duration reportInterval,
		Duration preemptionDelay, Duration endedJobRetention, boolean learnedRunTimes) {

	/**
	 * Maximum relative drift between the clocks of two machines: one runs 2% slow and the
	 * other one 2% fast.
	 */
	private static final double MAX_CLOCK_DRIFT = 1.02 / 0.98 - 1;

	/**
	 * Covers the latency of a response and the interval of the lease checks on a worker.
	 */
	private static final Duration LEASE_MARGIN = Duration.ofMillis(250);

	/** Several times the report interval. */
	private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(1200);

	/**
	 * Short compared with the run time of tasks; 33 workers send 165 reports per second.
	 */
	private static final Duration REPORT_INTERVAL = Duration.ofMillis(200);

	/**
	 * Limits the fleet to 1,000 reports per second, which a leader with 1.2 cores
	 * processes in addition to its scheduling decisions.
	 */
	private static final Duration REPORT_INTERVAL_PER_WORKER = Duration.ofMillis(1);

	/** A worker counts as silent when it has missed more reports than this. */
	private static final int MAX_MISSED_REPORTS = 3;

	/**
	 * Stopping a run and reporting its end takes about another second, and short urgent
	 * jobs have less than two seconds.
	 */
	private static final Duration PREEMPTION_DELAY = Duration.ofMillis(150);

	/** Twice as long as callers ask for a job that has ended. */
	private static final Duration ENDED_JOB_RETENTION = Duration.ofSeconds(240);

	/**
	 * Creates timings of a leader that learns run times.
	 * @param lease how long the runs of a worker may continue after a heartbeat that was
	 * answered
	 * @param leaseMargin added to the lease before a run counts as lost
	 * @param silenceTimeout the maximum silence of a worker that still gets new tasks
	 * @param reportInterval the interval between two reports of a worker
	 * @param preemptionDelay how long a step waits before it may preempt others
	 * @param endedJobRetention how long calls about an ended job are answered
	 */
	public FleetTimings(Duration lease, Duration leaseMargin, Duration silenceTimeout, Duration reportInterval,
			Duration preemptionDelay, Duration endedJobRetention) {
		this(lease, leaseMargin, silenceTimeout, reportInterval, preemptionDelay, endedJobRetention, true);
	}

	/**
	 * Creates the default timings for a lease.
	 * @param lease how long the runs of a worker may continue after a heartbeat that was
	 * answered
	 * @return the timings
	 */
	public static FleetTimings withLease(Duration lease) {
		return new FleetTimings(lease, LEASE_MARGIN, SILENCE_TIMEOUT, REPORT_INTERVAL, PREEMPTION_DELAY,
				ENDED_JOB_RETENTION);
	}

	/**
	 * Returns timings with another retention of ended jobs.
	 * @param retention how long calls about a job are answered after it has ended, at
	 * least
	 * @return the timings
	 */
	public FleetTimings withEndedJobRetention(Duration retention) {
		return new FleetTimings(this.lease, this.leaseMargin, this.silenceTimeout, this.reportInterval,
				this.preemptionDelay, retention, this.learnedRunTimes);
	}

	/**
	 * Returns timings with or without learned run times.
	 * @param learned whether forecasts use learned run times and worker speeds
	 * @return the timings
	 */
	public FleetTimings withLearnedRunTimes(boolean learned) {
		return new FleetTimings(this.lease, this.leaseMargin, this.silenceTimeout, this.reportInterval,
				this.preemptionDelay, this.endedJobRetention, learned);
	}

	/**
	 * Returns the report interval, which grows with the fleet to limit the total rate of
	 * reports.
	 * @param workers the number of workers
	 * @return the interval between two reports of one worker
	 */
	public Duration reportInterval(int workers) {
		return max(this.reportInterval, REPORT_INTERVAL_PER_WORKER.multipliedBy(workers));
	}

	/**
	 * Returns the maximum silence of a worker that still gets new tasks.
	 * @param workers the number of workers
	 * @return the maximum silence
	 */
	public Duration silenceTimeout(int workers) {
		return max(this.silenceTimeout, reportInterval(workers).multipliedBy(MAX_MISSED_REPORTS));
	}

	private static Duration max(Duration first, Duration second) {
		return (first.compareTo(second) >= 0) ? first : second;
	}

	/**
	 * Returns the longest time that a worker may consider a lease valid, measured on the
	 * clock of the leader and with allowance for clock drift.
	 * @return the time in nanoseconds
	 */
	public long maxLeaseNanos() {
		return (long) (this.lease.toNanos() * (1 + MAX_CLOCK_DRIFT)) + this.leaseMargin.toNanos();
	}

}
