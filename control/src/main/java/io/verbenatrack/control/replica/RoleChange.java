package io.verbenatrack.control.replica;

import java.util.Locale;

/**
 * The reason for a change of role. The reasons are the events of the state chart
 * {@code replica.yaml}.
 */
public enum RoleChange {

	/** A cluster was formed or joined. */
	FORMED,

	/** The election timeout passed without contact with a leader. */
	ELECTION_TIMEOUT,

	/** A quorum granted the pre-vote. */
	PRE_VOTES_WON,

	/** A quorum voted for this replica. */
	VOTES_WON,

	/** Another replica has a higher term or is the leader of this one. */
	OUTRANKED,

	/** No quorum answered in time. */
	QUORUM_LOST,

	/** This replica is about to stop and should hand over leadership. */
	HAND_OVER_ASKED,

	/** Another replica was asked to take over, or the handover timed out. */
	HANDED_OVER,

	/** The leader asked this replica to take over. */
	TAKE_OVER,

	/** The disk failed. */
	DISK_FAILED;

	private final String chartName = name().toLowerCase(Locale.ROOT).replace('_', '-');

	/**
	 * Returns the name of the event in the state chart.
	 * @return the name in lower case with hyphens
	 */
	public String chartName() {
		return this.chartName;
	}

}
