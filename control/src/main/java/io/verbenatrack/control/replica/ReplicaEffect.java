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
 * What a replica wants done.
 */
public sealed interface ReplicaEffect {

	/**
	 * Send a message; it may be lost.
	 *
	 * @param to who gets it
	 * @param message the message
	 */
	record Send(ReplicaMember to, ReplicaMessage message) implements ReplicaEffect {

	}

	/**
	 * Append records to the log file, sync, and report {@link ReplicaEvent.Synced}.
	 *
	 * @param ticket grows with each such effect
	 * @param records the records in their order
	 */
	record Persist(long ticket, List<LogRecord> records) implements ReplicaEffect {

	}

	/**
	 * Begin a new log file with these records, sync it, drop the older ones, and report
	 * {@link ReplicaEvent.Synced}.
	 *
	 * @param ticket grows with each such effect
	 * @param records all that the log holds
	 */
	record Roll(long ticket, List<LogRecord> records) implements ReplicaEffect {

	}

	/**
	 * Read a part of a snapshot and report {@link ReplicaEvent.ChunkRead}.
	 *
	 * @param to who will get it
	 * @param header the snapshot
	 * @param offset where the part begins
	 */
	record ReadChunk(String to, SnapshotHeader header, long offset) implements ReplicaEffect {

	}

	/**
	 * Write a part of a snapshot and report {@link ReplicaEvent.ChunkWritten}.
	 *
	 * @param header the snapshot
	 * @param offset where the part begins
	 * @param data the bytes
	 */
	record WriteChunk(SnapshotHeader header, long offset, ByteString data) implements ReplicaEffect {

	}

	/**
	 * Replace the state machine's state by a snapshot on disk.
	 *
	 * @param header the snapshot
	 */
	record Restore(SnapshotHeader header) implements ReplicaEffect {

	}

	/**
	 * A proposal was not added to the log and never will be, or a question is answered
	 * with no.
	 *
	 * @param token its name
	 * @param leader who may take it, if known
	 */
	record NotLeader(long token, Optional<InstanceId> leader) implements ReplicaEffect {

	}

	/**
	 * A proposal was not added to the log and never will be.
	 *
	 * @param token its name
	 * @param refusal why
	 */
	record Refused(long token, Refusal refusal) implements ReplicaEffect {

	}

	/**
	 * A proposal was added to the log, and leadership was lost before it was committed.
	 *
	 * @param token its name
	 */
	record Unknown(long token) implements ReplicaEffect {

	}

	/**
	 * This replica leads, once everything up to an index is applied.
	 *
	 * @param token the question's name
	 * @param term the term in which it leads
	 * @param index what has to be applied first
	 */
	record Confirmed(long token, long term, long index) implements ReplicaEffect {

	}

	/**
	 * Something that operators want to know.
	 *
	 * @param notice what
	 * @param detail which
	 */
	record Notify(ReplicaNotice notice, String detail) implements ReplicaEffect {

	}

}
