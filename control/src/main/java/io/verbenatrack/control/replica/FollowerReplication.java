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
 * Takes entries and snapshots from the leader.
 */
final class FollowerReplication {

	private final ReplicaState state;

	/** Who sent the chunk that the disk writes at the moment. */
	private Optional<ReplicaMember> chunkSender = Optional.empty();

	private long chunkSentNanos;

	FollowerReplication(ReplicaState state) {
		this.state = state;
	}

	void receive(ReplicaMessage message, AppendRequest request) {
		hearLeader(message);
		long previous = request.getPreviousIndex();
		if (previous < this.state.log.baseIndex()) {
			reply(message, request, true, this.state.log.baseIndex());
			return;
		}
		if (this.state.log.termAt(previous) != request.getPreviousTerm()) {
			reply(message, request, false, whereToLookNext(previous));
			return;
		}
		for (LogEntry entry : request.getEntriesList()) {
			if (this.state.log.termAt(entry.getIndex()) != entry.getTerm()) {
				appendMatching(entry);
			}
		}
		this.state.noteDurableEnd();
		long matching = previous + request.getEntriesCount();
		this.state.commitIndex = Math.max(this.state.commitIndex, Math.min(request.getCommitIndex(), matching));
		reply(message, request, true, matching);
	}

	private void appendMatching(LogEntry entry) {
		if (entry.getIndex() <= this.state.commitIndex) {
			throw new IllegalStateException("The leader replaces the committed entry " + entry.getIndex()
					+ ". Stop this replica and report this fault.");
		}
		this.state.append(entry);
	}

	/**
	 * Skips the whole term that does not match, so that one refusal suffices for it.
	 * @param previous the index that did not match
	 * @return the last index that may match
	 */
	private long whereToLookNext(long previous) {
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
		this.state.outbox.whenDurable(() -> {
			if (this.state.term() == term) {
				this.state.send(leader, this.state.message(leader).setAppendReply(reply));
			}
		});
	}

	private void hearLeader(ReplicaMessage message) {
		this.state.leader = Optional.of(ReplicaId.parse(message.getFrom()));
		this.state.leaderHeard = this.state.now;
		this.state.resetElectionDeadline();
	}

	void receive(ReplicaMessage message, SnapshotChunk chunk) {
		hearLeader(message);
		SnapshotHeader header = chunk.getHeader();
		ReplicaMember leader = this.state.senderOf(message);
		if (header.getIndex() <= this.state.commitIndex) {
			reply(leader, header, chunk.getSentNanos(), 0, true);
			return;
		}
		this.chunkSender = Optional.of(leader);
		this.chunkSentNanos = chunk.getSentNanos();
		this.state.outbox.add(new ReplicaEffect.WriteChunk(header, chunk.getOffset(), chunk.getData()));
	}

	void chunkWritten(SnapshotHeader header, long nextOffset, boolean complete) {
		if (complete && header.getIndex() > this.state.commitIndex) {
			install(header);
		}
		this.chunkSender.ifPresent((leader) -> reply(leader, header, this.chunkSentNanos, nextOffset, complete));
	}

	private void install(SnapshotHeader header) {
		long index = header.getIndex();
		if (this.state.log.termAt(index) == header.getTerm()) {
			this.state.log.dropThrough(index);
		}
		else {
			this.state.log.reset(index, header.getTerm());
		}
		this.state.members.reset(index, header.getMembership());
		for (LogEntry entry : this.state.log.all()) {
			this.state.noteMembership(entry);
		}
		this.state.snapshot = header;
		this.state.commitIndex = index;
		this.state.durableIndex = Math.max(index, this.state.durableIndex);
		this.state.outbox.add(new ReplicaEffect.Restore(header));
		this.state.outbox.roll(this.state.allRecords());
		this.state.noteDurableEnd();
	}

	private void reply(ReplicaMember leader, SnapshotHeader header, long sent, long nextOffset, boolean installed) {
		SnapshotReply.Builder reply = SnapshotReply.newBuilder()
			.setIndex(header.getIndex())
			.setNextOffset(nextOffset)
			.setInstalled(installed)
			.setSentNanos(sent);
		long term = this.state.term();
		this.state.outbox.whenDurable(() -> {
			if (this.state.term() == term) {
				this.state.send(leader, this.state.message(leader).setSnapshotReply(reply));
			}
		});
	}

}
