package io.verbenatrack.control;

/**
 * Limits on the memory use and message sizes of a replica.
 *
 * @param commandBytes the maximum size of a command, in bytes
 * @param messageBytes the maximum total size of the entries in one message, in bytes
 * @param unacknowledgedEntries the maximum number of unacknowledged entries in flight to
 * one follower
 * @param pendingEvents the capacity of the event queue of the protocol thread
 * @param entriesBetweenSnapshots how many entries are applied between two snapshots
 * @param entriesRetained how many entries up to a snapshot are kept in the log for slow
 * followers
 * @param chunkBytes the size of the chunks in which a snapshot is transferred, in bytes
 * @param maximumReplicas the maximum number of instances with a voter or learner that
 * answers the leader
 */
public record ReplicaLimits(int commandBytes, int messageBytes, int unacknowledgedEntries, int pendingEvents,
		int entriesBetweenSnapshots, int entriesRetained, int chunkBytes, int maximumReplicas) {

	/** Defaults for instances with 64 MB of memory. */
	public static final ReplicaLimits DEFAULT = new ReplicaLimits(1 << 21, 1 << 18, 4096, 4096, 10_000, 1_000, 1 << 18,
			7);

	/**
	 * Returns these limits with different snapshot settings.
	 * @param between how many entries are applied between two snapshots
	 * @param retained how many entries up to a snapshot are kept in the log
	 * @return the limits
	 */
	public ReplicaLimits withSnapshots(int between, int retained) {
		return new ReplicaLimits(this.commandBytes, this.messageBytes, this.unacknowledgedEntries, this.pendingEvents,
				between, retained, this.chunkBytes, this.maximumReplicas);
	}

}
