package io.verbenatrack.control.replica;

import java.util.Locale;

/**
 * What a replica does at the moment; the states of the chart {@code replica.yaml}.
 */
public enum ReplicaRole {

	/** It belongs to no cluster yet. */
	UNFORMED,

	/** It follows a leader or waits for one. */
	FOLLOWER,

	/** It asks whether it could win an election. */
	PRE_CANDIDATE,

	/** It asks for votes. */
	CANDIDATE,

	/** It leads. */
	LEADER,

	/** It leads, takes nothing new and hands leadership over. */
	HANDING_OVER,

	/** Its disk failed. */
	FAULTED;

	private final String chartName = name().toLowerCase(Locale.ROOT).replace('_', '-');

	/**
	 * The name of the state in the chart.
	 * @return lower case with dashes
	 */
	public String chartName() {
		return this.chartName;
	}

	static ReplicaRole fromChartName(String state) {
		return valueOf(state.toUpperCase(Locale.ROOT).replace('-', '_'));
	}

	/**
	 * Whether the replica is the leader of its term.
	 * @return whether it leads, also while it hands over
	 */
	public boolean leading() {
		return this == LEADER || this == HANDING_OVER;
	}

}
