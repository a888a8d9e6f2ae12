package io.verbenatrack.control.replica;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import org.testng.annotations.Test;

import io.verbenatrack.control.LogLimits;
import io.verbenatrack.control.MembershipPolicy;
import io.verbenatrack.protocol.control.AppendReply;
import io.verbenatrack.protocol.control.HardState;
import io.verbenatrack.protocol.control.LogEntry;
import io.verbenatrack.protocol.control.ReplicaMessage;
import io.verbenatrack.protocol.control.SnapshotChunk;
import io.verbenatrack.protocol.control.SnapshotHeader;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the compaction of the log and the transfer of snapshots.
 */
public class SnapshotTransferTests extends ReplicaCoreFixture {

	private static final SnapshotHeader SNAPSHOT = SnapshotHeader.newBuilder()
		.setFormat(1)
		.setIndex(3)
		.setTerm(3)
		.setMembership(THREE_VOTERS)
		.setLength(1_000)
		.build();

	private void startAfterSnapshot() {
		HardState hard = HardState.newBuilder().setCluster(CLUSTER).setTerm(3).build();
		start(MembershipPolicy.DEFAULT, new RecoveredLog(hard, SNAPSHOT, 3, 3, List.of()));
	}

	private void leadFollowerThatNeedsSnapshot() {
		startAfterSnapshot();
		becomeLeader();
		acknowledge("b", this.core.lastIndex());
		receive(from("c", this.core.term()).setAppendReply(
				AppendReply.newBuilder().setAccepted(false).setIndex(0).setRefusedIndex(3).setSentNanos(this.now)));
	}

	// Guards against a link that is full of snapshot chunks for a replica which is gone.
	@Test
	public void chunkIsNotSentAgainToReplicaThatDoesNotAnswer() {
		leadFollowerThatNeedsSnapshot();
		assertThat(this.snapshotWork).hasSize(1);
		passSecondWithAnswersOf("b");
		this.snapshotWork.clear();
		this.sent.clear();
		passSecondWithAnswersOf("b");
		assertThat(this.snapshotWork).isEmpty();
		assertThat(this.sent).filteredOn((message) -> message.getTo().equals("c/1")).hasSizeGreaterThan(5);
	}

	// Guards against a transfer that does not go on after the replica was away.
	@Test
	public void chunkIsSentAgainToReplicaThatAnswersAgain() {
		leadFollowerThatNeedsSnapshot();
		passSecondWithAnswersOf("b");
		passSecondWithAnswersOf("b");
		this.snapshotWork.clear();
		this.sent.clear();
		this.now += SECOND / 10;
		run(new ReplicaEvent.Tick());
		ReplicaMessage heartbeat = this.sent.stream()
			.filter((message) -> message.getTo().equals("c/1"))
			.findFirst()
			.orElseThrow();
		receive(from("c", this.core.term()).setAppendReply(AppendReply.newBuilder()
			.setAccepted(false)
			.setIndex(0)
			.setRefusedIndex(heartbeat.getAppendRequest().getPreviousIndex())
			.setSentNanos(heartbeat.getAppendRequest().getSentNanos())));
		this.now += SECOND / 10;
		run(new ReplicaEvent.Tick());
		assertThat(this.snapshotWork).hasSize(1);
	}

	private void receiveChunk() {
		receive(from("b", 3).setSnapshotChunk(SnapshotChunk.newBuilder()
			.setHeader(SNAPSHOT.toBuilder().setIndex(9))
			.setData(ByteString.copyFrom(new byte[100]))
			.setSentNanos(this.now)));
	}

	// Guards against chunks that fill the memory of a replica whose disk hangs.
	@Test
	public void repeatedChunkIsDroppedWhileOneIsWritten() {
		receiveChunk();
		receiveChunk();
		receiveChunk();
		assertThat(this.snapshotWork).hasSize(1);
		run(new ReplicaEvent.ChunkWritten(SNAPSHOT.toBuilder().setIndex(9).build(), 100, false));
		assertThat(this.sent).anyMatch((message) -> message.getSnapshotReply().getNextOffset() == 100);
		receiveChunk();
		assertThat(this.snapshotWork).hasSize(2);
	}

	// Guards against a compacted log that still holds many large entries.
	@Test
	public void retainedEntriesAreLimitedBySize() {
		List<LogEntry> entries = new ArrayList<>();
		for (int index = 1; index <= 100; index++) {
			entries.add(entry(index, 1).setCommand(ByteString.copyFrom(new byte[1_000])).build());
		}
		EntryLog log = new EntryLog(0, 0, entries);
		LogLimits limits = LogLimits.DEFAULT.withBytes(1, 10_500);
		assertThat(log.discardable(90, limits.entriesRetained(), limits.bytesRetained())).isEqualTo(80);
		assertThat(log.discardable(90, 5, limits.bytesRetained())).isEqualTo(85);
		assertThat(log.discardable(90, 1_000, Long.MAX_VALUE)).isZero();
	}

}
