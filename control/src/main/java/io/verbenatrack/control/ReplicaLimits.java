package io.verbenatrack.control;

/**
 * Limits on the memory use and message sizes of a replica.
 *
 * @param commandBytes the maximum size of a command, in bytes
 * @param messageBytes the maximum total size of the entries in one message, in bytes
 * @param unacknowledgedEntries the maximum number of unacknowledged entries in flight to
 * one follower
 * @param pendingEvents the capacity of the event queue of the protocol thread
 * @param pendingMessageBytes the maximum total size of the messages in that queue, in
 * bytes
 * @param log when the log is compacted, and what it retains then
 * @param chunkBytes the size of the chunks in which a snapshot is transferred, in bytes
 * @param maximumReplicas the maximum number of instances with a voter or learner that
 * answers the leader
 */
public record ReplicaLimits(int commandBytes, int messageBytes, int unacknowledgedEntries, int pendingEvents,
		long pendingMessageBytes, LogLimits log, int chunkBytes, int maximumReplicas) {

	/** Defaults for instances with 64 MB of memory. */
	public static final ReplicaLimits DEFAULT = new ReplicaLimits(1 << 21, 1 << 18, 4096, 4096, 1 << 23,
			LogLimits.DEFAULT, 1 << 18, 7);

	/**
	 * Returns these limits with different limits on the log.
	 * @param changed the limits on the log
	 * @return the limits
	 */
	public ReplicaLimits withLog(LogLimits changed) {
		return new ReplicaLimits(this.commandBytes, this.messageBytes, this.unacknowledgedEntries, this.pendingEvents,
				this.pendingMessageBytes, changed, this.chunkBytes, this.maximumReplicas);
	}

}
