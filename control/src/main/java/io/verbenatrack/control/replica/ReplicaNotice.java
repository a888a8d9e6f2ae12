package io.verbenatrack.control.replica;

/**
 * A notice for operators.
 */
public enum ReplicaNotice {

	/** The replicas agreed to form a new cluster. */
	FORMED,

	/** This replica became the leader. */
	LEADING,

	/** This replica is no longer the leader. */
	STEPPED_DOWN,

	/** A message from another cluster was dropped. */
	OTHER_CLUSTER,

	/** A replica that lost its disk is being replaced by its new incarnation. */
	REPLACING,

	/** This replica, whose disk is empty, joined an existing cluster. */
	JOINED,

	/** A learner has not caught up for long, so that it cannot become a voter. */
	LEARNER_BEHIND,

	/** A replica was removed, because it did not answer for long. */
	REMOVED,

	/** A replica was not admitted, because the maximum number is reached. */
	TURNED_AWAY,

	/** A snapshot was taken and the entries that it covers were removed. */
	COMPACTED,

	/** A membership took effect. */
	MEMBERSHIP,

	/** The disk failed. */
	DISK_FAILED

}
