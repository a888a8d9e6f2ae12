package io.verbenatrack.control.replica;

/**
 * What a replica tells its operators.
 */
public enum ReplicaNotice {

	/** The replicas agreed to form a new cluster. */
	FORMED,

	/** This replica leads from now on. */
	LEADING,

	/** This replica no longer leads. */
	STEPPED_DOWN,

	/** A message of another cluster arrived and was dropped. */
	OTHER_CLUSTER,

	/** A replica that lost its disk is being replaced by its new incarnation. */
	REPLACING,

	/** A membership took effect. */
	MEMBERSHIP,

	/** The disk failed. */
	DISK_FAILED

}
