package io.verbenatrack.control.replica;

import io.verbenatrack.protocol.control.ReplicaMember;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * What a leader knows of one follower.
 */
final class FollowerProgress {

	/** How the leader sends entries. */
	enum Mode {

		/** One message at a time, until the logs are known to match. */
		PROBE,

		/** Entries follow each other without waiting for answers. */
		STREAM,

		/** A snapshot travels, since the entries are gone. */
		SNAPSHOT

	}

	final ReplicaMember member;

	Mode mode = Mode.PROBE;

	long nextIndex;

	long matchIndex;

	/** When the latest answered message was sent, on the leader's clock. */
	long lastAnsweredSendNanos;

	boolean hasReplied;

	long lastSendNanos;

	boolean awaitingReply;

	SnapshotHeader snapshot = SnapshotHeader.getDefaultInstance();

	long snapshotOffset;

	FollowerProgress(ReplicaMember member, long nextIndex) {
		this.member = member;
		this.nextIndex = nextIndex;
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
