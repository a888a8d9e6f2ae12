package io.verbenatrack.control.replica;

import java.util.List;

import com.google.protobuf.ByteString;

import io.verbenatrack.protocol.control.Membership;
import io.verbenatrack.protocol.control.ReplicaMember;
import io.verbenatrack.protocol.control.ReplicaMessage;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * An event that the replica core handles.
 */
public sealed interface ReplicaEvent {

	/** Time has passed. */
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
	 * The settings name other instances to join, without effect on the initial members.
	 *
	 * @param seeds the instances, without incarnations
	 */
	record SeedsChanged(List<ReplicaMember> seeds) implements ReplicaEvent {

		public SeedsChanged {
			seeds = List.copyOf(seeds);
		}

	}

	/**
	 * All records up to a ticket are durable.
	 *
	 * @param ticket the ticket of a {@link ReplicaEffect.Persist}
	 */
	record Synced(long ticket) implements ReplicaEvent {

	}

	/**
	 * A write or sync failed. Nothing written after the last sync is known to be durable.
	 */
	record DiskFailed() implements ReplicaEvent {

	}

	/**
	 * A command is proposed.
	 *
	 * @param token identifies the proposal in the effects, from 1
	 * @param command the command
	 */
	record Proposed(long token, ByteString command) implements ReplicaEvent {

	}

	/**
	 * A confirmation that this replica is the leader is requested.
	 *
	 * @param token identifies the request in the effects, from 1
	 */
	record ConfirmationRequested(long token) implements ReplicaEvent {

	}

	/**
	 * An operator proposes to change the membership by one replica.
	 *
	 * @param token identifies the proposal in the effects, from 1
	 * @param membership the membership after the change
	 */
	record MembershipProposed(long token, Membership membership) implements ReplicaEvent {

	}

	/** This replica is about to stop and should hand over leadership. */
	record HandOverRequested() implements ReplicaEvent {

	}

	/**
	 * A snapshot of the state machine is durable.
	 *
	 * @param header the header of the snapshot
	 */
	record SnapshotTaken(SnapshotHeader header) implements ReplicaEvent {

	}

	/**
	 * A chunk of a snapshot was read from disk.
	 *
	 * @param to the identifier of the replica it was read for
	 * @param header the header of the snapshot; its length is 0 if the snapshot no longer
	 * exists
	 * @param offset the offset of the chunk in the state, in bytes
	 * @param data the bytes
	 */
	record ChunkRead(String to, SnapshotHeader header, long offset, ByteString data) implements ReplicaEvent {

	}

	/**
	 * A chunk of a snapshot was written to disk.
	 *
	 * @param header the snapshot
	 * @param nextOffset the offset of the next chunk
	 * @param complete whether the snapshot is complete, verified and durable
	 */
	record ChunkWritten(SnapshotHeader header, long nextOffset, boolean complete) implements ReplicaEvent {

	}

}
