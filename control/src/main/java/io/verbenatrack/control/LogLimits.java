package io.verbenatrack.control;

/**
 * Limits on the log of a replica, which is held in memory and read back at each start.
 *
 * @param entriesBetweenSnapshots how many entries are applied between two snapshots
 * @param bytesBetweenSnapshots after how many bytes of applied entries a snapshot is
 * taken, unless the last snapshot is larger: then after as many bytes as that has
 * @param entriesRetained how many entries up to a snapshot are kept in the log for slow
 * followers
 * @param bytesRetained the maximum total size of these entries, in bytes
 */
public record LogLimits(int entriesBetweenSnapshots, long bytesBetweenSnapshots, int entriesRetained,
		long bytesRetained) {

	/** Defaults for instances with 64 MB of memory. */
	public static final LogLimits DEFAULT = new LogLimits(10_000, 1 << 23, 1_000, 1 << 21);

	/**
	 * Returns these limits with different numbers of entries.
	 * @param between how many entries are applied between two snapshots
	 * @param retained how many entries up to a snapshot are kept in the log
	 * @return the limits
	 */
	public LogLimits withEntries(int between, int retained) {
		return new LogLimits(between, this.bytesBetweenSnapshots, retained, this.bytesRetained);
	}

	/**
	 * Returns these limits with different sizes.
	 * @param between after how many bytes of applied entries a snapshot is taken
	 * @param retained how many bytes of entries up to a snapshot are kept in the log
	 * @return the limits
	 */
	public LogLimits withBytes(long between, long retained) {
		return new LogLimits(this.entriesBetweenSnapshots, between, this.entriesRetained, retained);
	}

}
