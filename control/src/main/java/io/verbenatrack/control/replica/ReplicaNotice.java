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

	/** A membership took effect. */
	MEMBERSHIP,

	/** The disk failed. */
	DISK_FAILED

}
