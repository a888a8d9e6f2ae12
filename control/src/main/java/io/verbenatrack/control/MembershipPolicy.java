package io.verbenatrack.control;

import java.time.Duration;

/**
 * The target membership of a cluster and the conditions for changing it.
 *
 * @param targetVoters the number of voters up to which learners are promoted; 2 f + 1
 * voters tolerate f failures
 * @param mayFormCluster whether no cluster has ever been formed, so that this replica may
 * form one with the other initial members immediately; otherwise it first waits for
 * messages from an existing cluster, because initial members that all lost their disks
 * would form a second cluster beside the survivors of the first
 * @param replaceAfter how long a voter may fail to answer the leader before a learner
 * that has caught up replaces it
 */
public record MembershipPolicy(int targetVoters, boolean mayFormCluster, Duration replaceAfter) {

	/** Three voters, the smallest cluster that tolerates one failure. */
	public static final MembershipPolicy DEFAULT = new MembershipPolicy(3, true, Duration.ofSeconds(8));

	/**
	 * The fraction of the catch-up time after which an unresponsive voter is replaced, so
	 * that its replacement can vote before the next failure has to be tolerated.
	 */
	private static final double REPLACE_FRACTION = 0.6;

	private static final double MILLIS_PER_SECOND = 1000;

	public MembershipPolicy {
		if (targetVoters < 1 || targetVoters % 2 == 0) {
			throw new IllegalArgumentException(
					targetVoters + " voters bear no more losses than one fewer. Set an odd number of voters.");
		}
	}

	/**
	 * Returns the policy that tolerates a number of simultaneous failures.
	 * @param failures how many replicas may fail at the same time; less than 1 counts as
	 * 1
	 * @param mayFormCluster whether no cluster has ever been formed
	 * @param catchUpSeconds the time after a failure within which the cluster must be
	 * able to tolerate the next one, in seconds
	 * @return the policy
	 */
	public static MembershipPolicy tolerating(long failures, boolean mayFormCluster, double catchUpSeconds) {
		Duration replaceAfter = Duration.ofMillis(Math.round(catchUpSeconds * REPLACE_FRACTION * MILLIS_PER_SECOND));
		return new MembershipPolicy((int) (2 * Math.max(1, failures) + 1), mayFormCluster, replaceAfter);
	}

}
