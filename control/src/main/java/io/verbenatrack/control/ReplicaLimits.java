package io.verbenatrack.control;

/**
 * Bounds on what a replica holds and sends.
 *
 * @param commandBytes the largest command, in bytes
 * @param messageBytes the most entry bytes in one message
 * @param unacknowledgedEntries the most entries sent to a follower without an answer
 * @param pendingEvents the most events that wait for the replica's thread
 * @param entriesBetweenSnapshots how many entries are applied between two snapshots
 * @param entriesRetained how many entries stay behind a snapshot for slow followers
 * @param chunkBytes the size of the parts in which a snapshot travels
 * @param maximumReplicas the most voters and learners together
 */
public record ReplicaLimits(int commandBytes, int messageBytes, int unacknowledgedEntries, int pendingEvents,
		int entriesBetweenSnapshots, int entriesRetained, int chunkBytes, int maximumReplicas) {

	/** Suits instances with 64 MB. */
	public static final ReplicaLimits DEFAULT = new ReplicaLimits(1 << 21, 1 << 18, 4096, 4096, 10_000, 1_000, 1 << 18,
			7);

	/**
	 * The same limits with other snapshots.
	 * @param between how many entries are applied between two snapshots
	 * @param retained how many entries stay behind a snapshot
	 * @return the limits
	 */
	public ReplicaLimits withSnapshots(int between, int retained) {
		return new ReplicaLimits(this.commandBytes, this.messageBytes, this.unacknowledgedEntries, this.pendingEvents,
				between, retained, this.chunkBytes, this.maximumReplicas);
	}

}
