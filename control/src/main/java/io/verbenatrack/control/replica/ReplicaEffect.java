package io.verbenatrack.control.replica;

import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.protocol.control.LogRecord;
import io.verbenatrack.protocol.control.ReplicaMember;
import io.verbenatrack.protocol.control.ReplicaMessage;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * An effect that the replica core requests.
 */
public sealed interface ReplicaEffect {

	/**
	 * Send a message; it may be lost.
	 *
	 * @param to the recipient
	 * @param message the message
	 */
	record Send(ReplicaMember to, ReplicaMessage message) implements ReplicaEffect {

	}

	/**
	 * Append records to the log file, sync, and report {@link ReplicaEvent.Synced}.
	 *
	 * @param ticket increases with each {@code Persist} and {@code Roll}
	 * @param records the records in order
	 */
	record Persist(long ticket, List<LogRecord> records) implements ReplicaEffect {

	}

	/**
	 * Start a new log file with these records, sync it, delete the older ones, and report
	 * {@link ReplicaEvent.Synced}.
	 *
	 * @param ticket increases with each {@code Persist} and {@code Roll}
	 * @param records the complete content of the log
	 */
	record Roll(long ticket, List<LogRecord> records) implements ReplicaEffect {

	}

	/**
	 * Read a chunk of a snapshot and report {@link ReplicaEvent.ChunkRead}.
	 *
	 * @param to the identifier of the recipient
	 * @param header the snapshot
	 * @param offset the offset of the chunk in the state, in bytes
	 */
	record ReadChunk(String to, SnapshotHeader header, long offset) implements ReplicaEffect {

	}

	/**
	 * Write a chunk of a snapshot and report {@link ReplicaEvent.ChunkWritten}.
	 *
	 * @param header the snapshot
	 * @param offset the offset of the chunk in the state, in bytes
	 * @param data the bytes
	 */
	record WriteChunk(SnapshotHeader header, long offset, ByteString data) implements ReplicaEffect {

	}

	/**
	 * Replace the state of the state machine with a snapshot on disk.
	 *
	 * @param header the snapshot
	 */
	record Restore(SnapshotHeader header) implements ReplicaEffect {

	}

	/**
	 * A proposal was not appended to the log and never will be, or leadership could not
	 * be confirmed.
	 *
	 * @param token the token of the proposal or confirmation request
	 * @param leader the leader to retry with, if known
	 */
	record NotLeader(long token, Optional<InstanceId> leader) implements ReplicaEffect {

	}

	/**
	 * A proposal was refused. It was not appended to the log and never will be.
	 *
	 * @param token the token of the proposal
	 * @param refusal the reason
	 */
	record Refused(long token, Refusal refusal) implements ReplicaEffect {

	}

	/**
	 * A proposal was appended to the log, but leadership was lost before it was
	 * committed.
	 *
	 * @param token the token of the proposal
	 */
	record Unknown(long token) implements ReplicaEffect {

	}

	/**
	 * The leadership of this replica is confirmed once every entry up to an index is
	 * applied.
	 *
	 * @param token the token of the confirmation request
	 * @param term the term of its leadership
	 * @param index the index up to which entries have to be applied first
	 */
	record Confirmed(long token, long term, long index) implements ReplicaEffect {

	}

	/**
	 * Notify operators.
	 *
	 * @param notice the notice
	 * @param detail the replica, term, cluster or membership concerned
	 */
	record Notify(ReplicaNotice notice, String detail) implements ReplicaEffect {

	}

}
