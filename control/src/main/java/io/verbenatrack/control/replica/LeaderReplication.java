package io.verbenatrack.control.replica;

import java.util.List;

import com.google.protobuf.ByteString;

import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.control.ReplicaLimits;
import io.verbenatrack.protocol.control.AppendReply;
import io.verbenatrack.protocol.control.AppendRequest;
import io.verbenatrack.protocol.control.LogEntry;
import io.verbenatrack.protocol.control.ReplicaMessage;
import io.verbenatrack.protocol.control.SnapshotChunk;
import io.verbenatrack.protocol.control.SnapshotHeader;
import io.verbenatrack.protocol.control.SnapshotReply;

/**
 * Sends entries and snapshots to the followers.
 */
final class LeaderReplication {

	private final ReplicaState state;

	private final Leadership leadership;

	LeaderReplication(ReplicaState state, Leadership leadership) {
		this.state = state;
		this.leadership = leadership;
	}

	/** Sends each follower its missing entries, or a heartbeat if one is due. */
	void replicate() {
		for (FollowerProgress follower : this.leadership.followers()) {
			switch (follower.mode) {
				case PROBE -> probe(follower);
				case STREAM -> stream(follower);
				case SNAPSHOT -> sendSnapshot(follower);
			}
		}
	}

	private boolean heartbeatDue(FollowerProgress follower) {
		long interval = this.state.configuration.timings().heartbeatInterval().toNanos();
		return this.state.nowNanos - follower.lastSendNanos >= interval || follower.lastSendNanos == 0;
	}

	private void probe(FollowerProgress follower) {
		if (follower.awaitingReply && !heartbeatDue(follower)) {
			return;
		}
		if (this.state.log.termAt(follower.nextIndex - 1) == EntryLog.UNKNOWN_TERM) {
			follower.startSnapshot(this.state.snapshot);
			sendSnapshot(follower);
			return;
		}
		if (follower.awaitingReply) {
			// Entries that are sent again and again to a replica that does not answer
			// would fill its connection, which its next incarnation needs too.
			sendAppend(follower, List.of());
			return;
		}
		sendEntries(follower, false);
		follower.awaitingReply = true;
	}

	private void stream(FollowerProgress follower) {
		if (this.state.log.termAt(follower.nextIndex - 1) == EntryLog.UNKNOWN_TERM) {
			follower.startSnapshot(this.state.snapshot);
			sendSnapshot(follower);
			return;
		}
		boolean pending = follower.nextIndex <= this.state.log.lastIndex();
		long window = this.state.configuration.limits().unacknowledgedEntries();
		// A replica that does not answer gets heartbeats only; its connection may be
		// shared
		// with its next incarnation.
		boolean windowOpen = follower.nextIndex - follower.matchIndex <= window
				&& this.leadership.answeredRecently(follower);
		if ((pending && windowOpen) || heartbeatDue(follower)) {
			sendEntries(follower, windowOpen);
		}
	}

	private void sendEntries(FollowerProgress follower, boolean advance) {
		ReplicaLimits limits = this.state.configuration.limits();
		boolean windowFull = follower.mode == FollowerProgress.Mode.STREAM && !advance;
		do {
			List<LogEntry> entries = windowFull ? List.of()
					: this.state.log.slice(follower.nextIndex, limits.unacknowledgedEntries(), limits.messageBytes());
			sendAppend(follower, entries);
			if (advance) {
				follower.nextIndex += entries.size();
			}
		}
		while (advance && follower.nextIndex <= this.state.log.lastIndex()
				&& follower.nextIndex - follower.matchIndex <= limits.unacknowledgedEntries());
	}

	private void sendAppend(FollowerProgress follower, List<LogEntry> entries) {
		long previousIndex = follower.nextIndex - 1;
		sendAppend(follower, previousIndex, this.state.log.termAt(previousIndex), entries);
	}

	private void sendAppend(FollowerProgress follower, long previousIndex, long previousTerm, List<LogEntry> entries) {
		AppendRequest request = AppendRequest.newBuilder()
			.setPreviousIndex(previousIndex)
			.setPreviousTerm(previousTerm)
			.addAllEntries(entries)
			.setCommitIndex(this.state.commitIndex)
			.setSentNanos(this.state.nowNanos)
			.build();
		this.state.send(follower.member, this.state.message(follower.member).setAppendRequest(request));
		follower.lastSendNanos = this.state.nowNanos;
	}

	private void sendSnapshot(FollowerProgress follower) {
		if (follower.awaitingReply && !heartbeatDue(follower)) {
			return;
		}
		if (follower.awaitingReply && !this.leadership.answeredRecently(follower)) {
			sendAppend(follower, follower.snapshot.getIndex(), follower.snapshot.getTerm(), List.of());
			return;
		}
		String name = ReplicaId.of(follower.member).text();
		this.state.effects.add(new ReplicaEffect.ReadChunk(name, follower.snapshot, follower.snapshotOffset));
		follower.lastSendNanos = this.state.nowNanos;
		follower.awaitingReply = true;
	}

	void handleChunkRead(String to, SnapshotHeader header, long offset, ByteString data) {
		this.leadership.follower(ReplicaId.parse(to))
			.filter((follower) -> follower.mode == FollowerProgress.Mode.SNAPSHOT)
			.filter((follower) -> follower.snapshot.getIndex() == header.getIndex())
			.filter((follower) -> follower.snapshotOffset == offset)
			.ifPresent((follower) -> {
				if (header.getChecksum() != follower.snapshot.getChecksum()) {
					follower.startSnapshot(this.state.snapshot);
					return;
				}
				sendChunk(follower, offset, data);
			});
	}

	private void sendChunk(FollowerProgress follower, long offset, ByteString data) {
		SnapshotChunk chunk = SnapshotChunk.newBuilder()
			.setHeader(follower.snapshot)
			.setOffset(offset)
			.setData(data)
			.setSentNanos(this.state.nowNanos)
			.build();
		this.state.send(follower.member, this.state.message(follower.member).setSnapshotChunk(chunk));
	}

	void handleAppendReply(ReplicaMessage message, AppendReply reply) {
		this.leadership.follower(ReplicaId.parse(message.getFrom())).ifPresent((follower) -> {
			follower.recordReply(reply.getSentNanos());
			if (reply.getAccepted()) {
				recordMatch(follower, reply.getIndex());
			}
			else if (isCurrentRefusal(follower, reply)) {
				follower.probeFrom(Math.min(reply.getIndex() + 1, reply.getRefusedIndex()));
			}
			this.leadership.renewLease();
			this.leadership.advanceCommit();
		});
	}

	// A late or duplicate refusal must not start another probe, or the number of probes
	// would multiply.
	private static boolean isCurrentRefusal(FollowerProgress follower, AppendReply reply) {
		return switch (follower.mode) {
			case PROBE -> follower.awaitingReply && reply.getRefusedIndex() == follower.nextIndex - 1;
			case STREAM -> reply.getRefusedIndex() > follower.matchIndex;
			case SNAPSHOT -> false;
		};
	}

	private void recordMatch(FollowerProgress follower, long index) {
		follower.matchIndex = Math.max(follower.matchIndex, index);
		follower.nextIndex = Math.max(follower.nextIndex, follower.matchIndex + 1);
		if (follower.mode == FollowerProgress.Mode.PROBE) {
			follower.mode = FollowerProgress.Mode.STREAM;
			follower.awaitingReply = false;
			follower.nextIndex = follower.matchIndex + 1;
		}
	}

	void handleSnapshotReply(ReplicaMessage message, SnapshotReply reply) {
		this.leadership.follower(ReplicaId.parse(message.getFrom())).ifPresent((follower) -> {
			follower.recordReply(reply.getSentNanos());
			this.leadership.renewLease();
			if (follower.mode != FollowerProgress.Mode.SNAPSHOT || follower.snapshot.getIndex() != reply.getIndex()) {
				return;
			}
			if (reply.getInstalled()) {
				follower.matchIndex = Math.max(follower.matchIndex, reply.getIndex());
				follower.probeFrom(follower.matchIndex + 1);
				this.leadership.advanceCommit();
				return;
			}
			if (reply.getNextOffset() != follower.snapshotOffset) {
				follower.snapshotOffset = reply.getNextOffset();
				follower.awaitingReply = false;
			}
		});
	}

}
