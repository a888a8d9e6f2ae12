package io.verbenatrack.control;

import java.time.Duration;

/**
 * Who is to hold the log.
 *
 * @param targetVoters how many voters a cluster grows to while learners are there; 2 f +
 * 1 bear the loss of f
 * @param mayFormCluster whether no cluster has ever been formed, so that this replica may
 * form one with the other founders at once; otherwise it does so only when no cluster
 * calls it, since founders that all lost their disks would form a second one beside what
 * is left of the first
 * @param replaceAfter how long a voter may be silent before a learner that caught up
 * takes its place
 */
public record MembershipPolicy(int targetVoters, boolean mayFormCluster, Duration replaceAfter) {

	/** Three replicas, the fewest of which one may be lost. */
	public static final MembershipPolicy DEFAULT = new MembershipPolicy(3, true, Duration.ofSeconds(8));

	/**
	 * A voter gives way within this part of the time allowed for catching up, so that its
	 * successor votes before the next loss has to be borne.
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
	 * A plan for a deployment.
	 * @param failures how many replicas may be lost at once, one at least
	 * @param mayFormCluster whether no cluster has ever been formed
	 * @param catchUpSeconds how long after a loss the next one has to be borne
	 * @return the plan
	 */
	public static MembershipPolicy tolerating(long failures, boolean mayFormCluster, double catchUpSeconds) {
		Duration replaceAfter = Duration.ofMillis(Math.round(catchUpSeconds * REPLACE_FRACTION * MILLIS_PER_SECOND));
		return new MembershipPolicy((int) (2 * Math.max(1, failures) + 1), mayFormCluster, replaceAfter);
	}

}
