package io.verbenatrack.control.replica;

import java.util.Locale;

/**
 * The role of a replica. The roles are the states of the state chart
 * {@code replica.yaml}.
 */
public enum ReplicaRole {

	/** Belongs to no cluster yet. */
	UNFORMED,

	/** Follows a leader or waits for one. */
	FOLLOWER,

	/** Runs a pre-vote to find out whether it could win an election. */
	PRE_CANDIDATE,

	/** Requests votes. */
	CANDIDATE,

	/** Is the leader of its term. */
	LEADER,

	/** Is the leader, accepts no new proposals and hands over leadership. */
	HANDING_OVER,

	/** Does not take part, because its disk failed. */
	FAULTED;

	private final String chartName = name().toLowerCase(Locale.ROOT).replace('_', '-');

	/**
	 * Returns the name of the state in the state chart.
	 * @return the name in lower case with hyphens
	 */
	public String chartName() {
		return this.chartName;
	}

	static ReplicaRole fromChartName(String state) {
		return valueOf(state.toUpperCase(Locale.ROOT).replace('-', '_'));
	}

	/**
	 * Returns whether the replica is the leader of its term.
	 * @return whether it is the leader, including while it hands over leadership
	 */
	public boolean leading() {
		return this == LEADER || this == HANDING_OVER;
	}

}
