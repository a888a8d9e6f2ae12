package io.verbenatrack.control.replica;

import java.util.Locale;

/**
 * What moves a replica from one role to another; the events of the chart
 * {@code replica.yaml}.
 */
public enum RoleChange {

	/** A cluster was formed or joined. */
	FORMED,

	/** The leader was not heard in time. */
	ELECTION_TIMEOUT,

	/** A quorum would vote for this replica. */
	PRE_VOTES_WON,

	/** A quorum voted for this replica. */
	VOTES_WON,

	/** Another replica has a higher term, or leads in this one. */
	OUTRANKED,

	/** No quorum answered in time. */
	QUORUM_LOST,

	/** This replica is about to stop. */
	HAND_OVER_ASKED,

	/** Another replica was told to take over. */
	HANDED_OVER,

	/** The leader told this replica to take over. */
	TAKE_OVER,

	/** The disk failed. */
	DISK_FAILED;

	private final String chartName = name().toLowerCase(Locale.ROOT).replace('_', '-');

	/**
	 * The name of the event in the chart.
	 * @return lower case with dashes
	 */
	public String chartName() {
		return this.chartName;
	}

}
