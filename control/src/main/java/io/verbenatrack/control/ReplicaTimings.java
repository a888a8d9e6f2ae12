package io.verbenatrack.control;

import java.time.Duration;

/**
 * The intervals and timeouts of a replica.
 *
 * @param heartbeatInterval the interval between messages from an idle leader to a
 * follower
 * @param electionTimeout the minimum time without contact with a leader after which a
 * follower starts an election; a random time of up to the same length is added
 * @param lease how long a leader may act after a quorum answered, counted from when the
 * requests were sent; shorter than the election timeout to allow for clock drift
 * @param announcementInterval the interval between announcements of a replica that is not
 * a member yet
 * @param silenceTimeout how long a connection may go without a receipt for sent messages
 * before it is replaced
 */
public record ReplicaTimings(Duration heartbeatInterval, Duration electionTimeout, Duration lease,
		Duration announcementInterval, Duration silenceTimeout) {

	/** Defaults for networks with a one-way latency of up to 5 ms. */
	public static final ReplicaTimings DEFAULT = new ReplicaTimings(Duration.ofMillis(100), Duration.ofMillis(500),
			Duration.ofMillis(400), Duration.ofMillis(300), Duration.ofMillis(600));

	/** The maximum lease duration as a fraction of the election timeout. */
	private static final double MAXIMUM_LEASE_FRACTION = 0.9;

	public ReplicaTimings {
		if (lease.toNanos() > electionTimeout.toNanos() * MAXIMUM_LEASE_FRACTION) {
			throw new IllegalArgumentException("The leader lease of " + lease + " leaves too little of the election"
					+ " timeout of " + electionTimeout + " for clock drift. Set it to 90% of it at most.");
		}
		if (heartbeatInterval.multipliedBy(3).compareTo(lease) > 0) {
			throw new IllegalArgumentException("A heartbeat every " + heartbeatInterval + " is too rare for a lease of "
					+ lease + ". Set it to a third of it at most.");
		}
	}

}
