package io.verbenatrack.fleet.policy;

import java.time.Duration;

/**
 * How long the fleet's leader waits.
 *
 * @param lease how long a worker may run on after a heartbeat that was answered
 * @param leaseMargin added before a run counts as lost: two clocks drift apart, and an
 * answer is under way for a while
 * @param workerSilence the longest silence after which a worker gets new work
 * @param report when a worker with free room reports again
 * @param preemptAfter how long a guaranteed job waits before it preempts others
 * @param slowRack how much longer a task takes away from its rack
 */
public record FleetTimings(Duration lease, Duration leaseMargin, Duration workerSilence, Duration report,
		Duration preemptAfter, double slowRack) {

	/** The longest drift between two steady clocks. */
	private static final double CLOCK_DRIFT = 0.03;

	/**
	 * The longest that a worker may take a lease to last, on our clock.
	 * @return nanoseconds
	 */
	public long worstLeaseNanos() {
		return (long) (this.lease.toNanos() * (1 + CLOCK_DRIFT)) + this.leaseMargin.toNanos();
	}

}
