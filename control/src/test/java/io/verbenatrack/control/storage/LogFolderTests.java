package io.verbenatrack.control.storage;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import com.google.protobuf.ByteString;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.protocol.control.LogEntry;
import io.verbenatrack.protocol.control.LogRecord;
import io.verbenatrack.protocol.control.SnapshotHeader;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests for {@link LogFolder}: recovery of the files of a data folder after a crash or
 * damage.
 */
public class LogFolderTests {

	private Path folder;

	@BeforeMethod
	void writeThreeSyncedEntries() throws IOException {
		this.folder = Files.createTempDirectory("log");
		try (LogFolder log = LogFolder.open(this.folder, SnapshotHeader.getDefaultInstance()).log()) {
			for (int index = 1; index <= 3; index++) {
				log.append(List
					.of(LogRecord.newBuilder().setEntry(LogEntry.newBuilder().setIndex(index).setTerm(1)).build()));
				log.sync();
			}
		}
	}

	private Path logFile() throws IOException {
		return DurableFiles.list(this.folder, "log-", ".records").get(0);
	}

	private LogFolder.Opened open() throws IOException {
		LogFolder.Opened opened = LogFolder.open(this.folder, SnapshotHeader.getDefaultInstance());
		opened.log().close();
		return opened;
	}

	private void flipBit(int fromEnd) throws IOException {
		byte[] content = Files.readAllBytes(logFile());
		content[content.length - fromEnd] ^= 1;
		Files.write(logFile(), content);
	}

	@Test
	public void intactLogIsReadCompletely() throws IOException {
		assertThat(open().recovered().entries()).hasSize(3);
	}

	@Test
	public void tornTailIsDiscarded() throws IOException {
		byte[] content = Files.readAllBytes(logFile());
		Files.write(logFile(), Arrays.copyOf(content, content.length - 2));
		LogFolder.Opened opened = open();
		assertThat(opened.recovered().entries()).hasSize(2);
		assertThat(opened.tornBytes()).isPositive();
		assertThat(open().tornBytes()).isZero();
	}

	@Test
	public void damageBeforeSyncedRecordIsRejected() throws IOException {
		flipBit(30);
		assertThatThrownBy(this::open).isInstanceOf(StorageException.class)
			.hasMessageContaining("is damaged at byte")
			.hasMessageContaining("the other replicas fill it");
	}

	private void appendLargeEntries(int bytes) throws IOException {
		try (LogFolder log = LogFolder.open(this.folder, SnapshotHeader.getDefaultInstance()).log()) {
			for (int index = 4; index <= 6; index++) {
				log.append(List.of(LogRecord.newBuilder()
					.setEntry(LogEntry.newBuilder()
						.setIndex(index)
						.setTerm(1)
						.setCommand(ByteString.copyFrom(new byte[bytes])))
					.build()));
				log.sync();
			}
		}
	}

	// Guards against records that the reader's buffer splits.
	@Test
	public void recordsLargerThanTheReadBufferAreRead() throws IOException {
		appendLargeEntries(100_000);
		assertThat(open().recovered().entries()).extracting((entry) -> entry.getCommand().size())
			.containsExactly(0, 0, 0, 100_000, 100_000, 100_000);
	}

	@Test
	public void tornTailOfLargeRecordIsDiscarded() throws IOException {
		appendLargeEntries(100_000);
		byte[] content = Files.readAllBytes(logFile());
		Files.write(logFile(), Arrays.copyOf(content, content.length - 50_000));
		assertThat(open().recovered().entries()).hasSize(5);
	}

	@Test
	public void damageBeforeLargeSyncedRecordIsRejected() throws IOException {
		appendLargeEntries(100_000);
		flipBit(150_000);
		assertThatThrownBy(this::open).isInstanceOf(StorageException.class).hasMessageContaining("is damaged at byte");
	}

	@Test
	public void newerFormatIsRejected() throws IOException {
		byte[] content = Files.readAllBytes(logFile());
		content[LogFormat.HEADER_BYTES - 1] = 2;
		Files.write(logFile(), content);
		assertThatThrownBy(this::open).hasMessageContaining("has format 2").hasMessageContaining("newer release");
	}

	@Test
	public void folderWithoutLogGetsNewIncarnation() throws IOException {
		InstanceId instance = new InstanceId("one");
		ReplicaId before;
		try (ReplicaIdentity identity = ReplicaIdentity.open(this.folder, instance)) {
			before = identity.replica();
		}
		try (ReplicaIdentity identity = ReplicaIdentity.open(this.folder, instance)) {
			assertThat(identity.replica()).isEqualTo(before);
		}
		Files.delete(logFile());
		try (ReplicaIdentity identity = ReplicaIdentity.open(this.folder, instance)) {
			assertThat(identity.replica()).isNotEqualTo(before);
		}
	}

	@Test
	public void snapshotTransferResumesAfterRepeatedChunk() throws IOException {
		SnapshotFolder from = new SnapshotFolder(this.folder);
		SnapshotFolder to = new SnapshotFolder(Files.createTempDirectory("target"));
		byte[] state = new byte[1_000];
		SnapshotBuffer encoded = new SnapshotBuffer();
		encoded.write(state, 0, state.length);
		SnapshotHeader header = from.save(SnapshotHeader.newBuilder().setIndex(9).setTerm(2).build(), encoded);
		assertThat(to.writeChunk(header, 0, from.readChunk(header, 0, 400).orElseThrow())).isEqualTo(400);
		assertThat(to.writeChunk(header, 0, from.readChunk(header, 0, 400).orElseThrow())).isEqualTo(400);
		assertThat(to.writeChunk(header, 400, from.readChunk(header, 400, 400).orElseThrow())).isEqualTo(800);
		assertThat(to.writeChunk(header, 800, from.readChunk(header, 800, 400).orElseThrow())).isEqualTo(1_000);
		assertThat(to.latest()).isEqualTo(header);
		try (InputStream received = to.open(header)) {
			assertThat(received).hasBinaryContent(state);
		}
	}

	// Guards against a received snapshot that a loss of power has torn.
	@Test
	public void damagedPartOfSnapshotIsReceivedAgain() throws IOException {
		SnapshotFolder from = new SnapshotFolder(this.folder);
		Path target = Files.createTempDirectory("target");
		SnapshotFolder to = new SnapshotFolder(target);
		SnapshotBuffer encoded = new SnapshotBuffer();
		byte[] state = new byte[100_000];
		Arrays.fill(state, (byte) 7);
		encoded.write(state, 0, state.length);
		SnapshotHeader header = from.save(SnapshotHeader.newBuilder().setIndex(9).setTerm(2).build(), encoded);
		to.writeChunk(header, 0, from.readChunk(header, 0, 60_000).orElseThrow());
		Path part = DurableFiles.list(target, "snapshot-", ".part").getFirst();
		byte[] content = Files.readAllBytes(part);
		Arrays.fill(content, 0, 10, (byte) 0);
		Files.write(part, content);
		assertThat(to.writeChunk(header, 60_000, from.readChunk(header, 60_000, 60_000).orElseThrow())).isZero();
		assertThat(to.writeChunk(header, 0, from.readChunk(header, 0, 100_000).orElseThrow())).isEqualTo(100_000);
		assertThat(to.latest()).isEqualTo(header);
		try (InputStream received = to.open(header)) {
			assertThat(received).hasBinaryContent(state);
		}
	}

}
