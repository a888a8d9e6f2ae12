package io.verbenatrack.control.replica;

import com.google.protobuf.ByteString;

import io.verbenatrack.protocol.control.Membership;
import io.verbenatrack.protocol.control.ReplicaMessage;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * What happens to a replica.
 */
public sealed interface ReplicaEvent {

	/** Time passed. */
	record Tick() implements ReplicaEvent {

	}

	/**
	 * A message arrived.
	 *
	 * @param message the message
	 */
	record Received(ReplicaMessage message) implements ReplicaEvent {

	}

	/**
	 * All records up to a ticket are on disk.
	 *
	 * @param ticket the ticket of a {@link ReplicaEffect.Persist}
	 */
	record Synced(long ticket) implements ReplicaEvent {

	}

	/** The disk failed to write or sync; nothing after the last sync can be relied on. */
	record DiskFailed() implements ReplicaEvent {

	}

	/**
	 * Somebody proposes a command.
	 *
	 * @param token names the proposal in the effects, from 1
	 * @param command the command
	 */
	record Proposed(long token, ByteString command) implements ReplicaEvent {

	}

	/**
	 * Somebody asks whether this replica leads.
	 *
	 * @param token names the question in the effects, from 1
	 */
	record ConfirmationRequested(long token) implements ReplicaEvent {

	}

	/**
	 * An operator changes the membership by one replica.
	 *
	 * @param token names the proposal in the effects, from 1
	 * @param membership the membership after the change
	 */
	record MembershipProposed(long token, Membership membership) implements ReplicaEvent {

	}

	/** This replica is about to stop. */
	record HandOverRequested() implements ReplicaEvent {

	}

	/**
	 * The state machine's snapshot is on disk.
	 *
	 * @param header what it stands for
	 */
	record SnapshotTaken(SnapshotHeader header) implements ReplicaEvent {

	}

	/**
	 * A part of a snapshot was read from disk.
	 *
	 * @param to the instance and incarnation it was read for
	 * @param header the snapshot; its length is 0 when it is no longer there
	 * @param offset where the part begins
	 * @param data the bytes
	 */
	record ChunkRead(String to, SnapshotHeader header, long offset, ByteString data) implements ReplicaEvent {

	}

	/**
	 * A part of a snapshot was written to disk.
	 *
	 * @param header the snapshot
	 * @param nextOffset where the next part has to begin
	 * @param complete whether the snapshot is whole, checked and on disk
	 */
	record ChunkWritten(SnapshotHeader header, long nextOffset, boolean complete) implements ReplicaEvent {

	}

}
