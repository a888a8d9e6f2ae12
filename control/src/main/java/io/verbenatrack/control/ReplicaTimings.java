package io.verbenatrack.control;

import java.time.Duration;

/**
 * How long a replica waits.
 *
 * @param heartbeatInterval between two messages of an idle leader to a follower
 * @param electionTimeout how long a follower waits at least for its leader; it draws up
 * to as much again
 * @param lease how long a leader decides after a quorum answered, counted from when it
 * asked; shorter than the election timeout by the drift between two clocks
 * @param announcementInterval between two announcements of a replica that is no member
 * yet
 * @param silenceTimeout how long a connection may leave messages unanswered before
 * another one replaces it
 */
public record ReplicaTimings(Duration heartbeatInterval, Duration electionTimeout, Duration lease,
		Duration announcementInterval, Duration silenceTimeout) {

	/** Suits links of up to 5 ms one way. */
	public static final ReplicaTimings DEFAULT = new ReplicaTimings(Duration.ofMillis(100), Duration.ofMillis(500),
			Duration.ofMillis(400), Duration.ofMillis(300), Duration.ofMillis(600));

	/** The largest part of the election timeout that a lease may last. */
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
