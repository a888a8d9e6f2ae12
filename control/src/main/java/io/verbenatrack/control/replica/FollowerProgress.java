package io.verbenatrack.control.replica;

import io.verbenatrack.protocol.control.ReplicaMember;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * The replication progress of one follower as known to the leader.
 */
final class FollowerProgress {

	/** How the leader sends log content to the follower. */
	enum Mode {

		/** One message at a time, until the logs are known to match. */
		PROBE,

		/** Entries are pipelined without waiting for replies. */
		STREAM,

		/** A snapshot is sent, because the missing entries are no longer in the log. */
		SNAPSHOT

	}

	final ReplicaMember member;

	/** Since when the leader contacts the follower, on the leader's clock. */
	private final long addedNanos;

	Mode mode = Mode.PROBE;

	long nextIndex;

	long matchIndex;

	/** The send time of the latest message that was answered, on the leader's clock. */
	long lastAnsweredSendNanos;

	boolean hasReplied;

	long lastSendNanos;

	boolean awaitingReply;

	SnapshotHeader snapshot = SnapshotHeader.getDefaultInstance();

	long snapshotOffset;

	FollowerProgress(ReplicaMember member, long nextIndex, long addedNanos) {
		this.member = member;
		this.nextIndex = nextIndex;
		this.addedNanos = addedNanos;
	}

	/**
	 * Returns since when the follower has not answered.
	 * @return when the last message that it answered was sent, or when the leader first
	 * contacted it, in nanoseconds of the leader's clock
	 */
	long lastContactNanos() {
		return this.hasReplied ? this.lastAnsweredSendNanos : this.addedNanos;
	}

	void recordReply(long sent) {
		if (!this.hasReplied || sent - this.lastAnsweredSendNanos > 0) {
			this.lastAnsweredSendNanos = sent;
			this.hasReplied = true;
		}
	}

	void startSnapshot(SnapshotHeader header) {
		this.mode = Mode.SNAPSHOT;
		this.snapshot = header;
		this.snapshotOffset = 0;
		this.awaitingReply = false;
	}

	void probeFrom(long index) {
		this.mode = Mode.PROBE;
		this.nextIndex = Math.max(index, this.matchIndex + 1);
		this.awaitingReply = false;
	}

}
