package io.verbenatrack.control;

import java.time.Duration;

/**
 * Who is to hold the log.
 *
 * @param voters how many voters a cluster grows to while learners are there; 2 f + 1 bear
 * the loss of f
 * @param mayForm whether no cluster has ever been formed, so that this replica may form
 * one with the other founders at once; otherwise it does so only when no cluster calls
 * it, since founders that all lost their disks would form a second one beside what is
 * left of the first
 * @param replaceAfter how long a voter may be silent before a learner that caught up
 * takes its place
 */
public record MembershipPlan(int voters, boolean mayForm, Duration replaceAfter) {

	/** Three replicas, the fewest of which one may be lost. */
	public static final MembershipPlan DEFAULT = new MembershipPlan(3, true, Duration.ofSeconds(8));

	public MembershipPlan {
		if (voters < 1 || voters % 2 == 0) {
			throw new IllegalArgumentException(
					voters + " voters bear no more losses than one fewer. Set an odd number of voters.");
		}
	}

}
