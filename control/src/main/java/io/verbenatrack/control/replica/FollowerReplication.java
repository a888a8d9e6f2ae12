package io.verbenatrack.control.replica;

import java.util.Optional;

import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.protocol.control.AppendReply;
import io.verbenatrack.protocol.control.AppendRequest;
import io.verbenatrack.protocol.control.LogEntry;
import io.verbenatrack.protocol.control.ReplicaMember;
import io.verbenatrack.protocol.control.ReplicaMessage;
import io.verbenatrack.protocol.control.SnapshotChunk;
import io.verbenatrack.protocol.control.SnapshotHeader;
import io.verbenatrack.protocol.control.SnapshotReply;

/**
 * Receives entries and snapshots from the leader.
 */
final class FollowerReplication {

	private final ReplicaState state;

	/** The sender of the snapshot chunk that is being written to disk. */
	private Optional<ReplicaMember> chunkSender = Optional.empty();

	private long chunkSentNanos;

	/** A leader repeats a chunk, which must not pile up while the disk hangs. */
	private boolean writingChunk;

	FollowerReplication(ReplicaState state) {
		this.state = state;
	}

	void handleAppend(ReplicaMessage message, AppendRequest request) {
		recordLeaderContact(message);
		long previous = request.getPreviousIndex();
		if (previous < this.state.log.baseIndex()) {
			reply(message, request, true, this.state.log.baseIndex());
			return;
		}
		if (this.state.log.termAt(previous) != request.getPreviousTerm()) {
			reply(message, request, false, lastPossibleMatch(previous));
			return;
		}
		for (LogEntry entry : request.getEntriesList()) {
			if (this.state.log.termAt(entry.getIndex()) != entry.getTerm()) {
				appendUncommitted(entry);
			}
		}
		this.state.trackDurableIndex();
		long matching = previous + request.getEntriesCount();
		this.state.commitIndex = Math.max(this.state.commitIndex, Math.min(request.getCommitIndex(), matching));
		reply(message, request, true, matching);
	}

	private void appendUncommitted(LogEntry entry) {
		if (entry.getIndex() <= this.state.commitIndex) {
			throw new IllegalStateException("The leader tried to replace the committed entry " + entry.getIndex()
					+ ". Stop this replica and report this fault.");
		}
		this.state.append(entry);
	}

	/**
	 * Skips the entire conflicting term, so that one refusal per conflicting term is
	 * enough.
	 * @param previous the conflicting index
	 * @return the last index that may match
	 */
	private long lastPossibleMatch(long previous) {
		if (previous > this.state.log.lastIndex()) {
			return this.state.log.lastIndex();
		}
		long term = this.state.log.termAt(previous);
		long index = previous;
		while (index > this.state.commitIndex && this.state.log.termAt(index) == term) {
			index--;
		}
		return index;
	}

	private void reply(ReplicaMessage message, AppendRequest request, boolean accepted, long index) {
		ReplicaMember leader = this.state.senderOf(message);
		AppendReply.Builder reply = AppendReply.newBuilder()
			.setAccepted(accepted)
			.setIndex(index)
			.setSentNanos(request.getSentNanos());
		if (!accepted) {
			reply.setRefusedIndex(request.getPreviousIndex());
		}
		long term = this.state.term();
		this.state.effects.runWhenDurable(() -> {
			if (this.state.term() == term) {
				this.state.send(leader, this.state.message(leader).setAppendReply(reply));
			}
		});
	}

	private void recordLeaderContact(ReplicaMessage message) {
		this.state.leader = Optional.of(ReplicaId.parse(message.getFrom()));
		this.state.lastLeaderContact = this.state.grantedNow;
		this.state.resetElectionDeadline();
	}

	void handleSnapshotChunk(ReplicaMessage message, SnapshotChunk chunk) {
		recordLeaderContact(message);
		SnapshotHeader header = chunk.getHeader();
		ReplicaMember leader = this.state.senderOf(message);
		if (header.getIndex() <= this.state.commitIndex) {
			reply(leader, header, chunk.getSentNanos(), 0, true);
			return;
		}
		if (this.writingChunk) {
			return;
		}
		this.writingChunk = true;
		this.chunkSender = Optional.of(leader);
		this.chunkSentNanos = chunk.getSentNanos();
		this.state.effects.add(new ReplicaEffect.WriteChunk(header, chunk.getOffset(), chunk.getData()));
	}

	void handleChunkWritten(SnapshotHeader header, long nextOffset, boolean complete) {
		this.writingChunk = false;
		if (complete && header.getIndex() > this.state.commitIndex) {
			installSnapshot(header);
		}
		this.chunkSender.ifPresent((leader) -> reply(leader, header, this.chunkSentNanos, nextOffset, complete));
	}

	private void installSnapshot(SnapshotHeader header) {
		long index = header.getIndex();
		if (this.state.log.termAt(index) == header.getTerm()) {
			this.state.log.discardThrough(index);
		}
		else {
			this.state.log.reset(index, header.getTerm());
		}
		this.state.memberships.reset(index, header.getMembership());
		for (LogEntry entry : this.state.log.all()) {
			this.state.recordMembership(entry);
		}
		this.state.snapshot = header;
		this.state.commitIndex = index;
		this.state.durableIndex = Math.max(index, this.state.durableIndex);
		this.state.effects.add(new ReplicaEffect.Restore(header));
		this.state.effects.rollLog(this.state.allRecords());
		this.state.trackDurableIndex();
	}

	private void reply(ReplicaMember leader, SnapshotHeader header, long sent, long nextOffset, boolean installed) {
		SnapshotReply.Builder reply = SnapshotReply.newBuilder()
			.setIndex(header.getIndex())
			.setNextOffset(nextOffset)
			.setInstalled(installed)
			.setSentNanos(sent);
		long term = this.state.term();
		this.state.effects.runWhenDurable(() -> {
			if (this.state.term() == term) {
				this.state.send(leader, this.state.message(leader).setSnapshotReply(reply));
			}
		});
	}

}
