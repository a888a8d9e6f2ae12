package io.verbenatrack.control.storage;

import java.nio.file.Path;
import java.util.List;

import com.google.protobuf.ByteString;

import io.verbenatrack.protocol.control.LogEntry;
import io.verbenatrack.protocol.control.LogRecord;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * A process that writes a log in which each entry replaces the one before, and opens it.
 */
public final class ReplacedEntriesProcess {

	private static final int COMMAND_BYTES = 1 << 19;

	private ReplacedEntriesProcess() {
	}

	/**
	 * Runs the process. Exits with 0 if the last entry was recovered.
	 * @param arguments the data folder and the number of entries
	 * @throws Exception if the log cannot be written or read
	 */
	public static void main(String[] arguments) throws Exception {
		Path folder = Path.of(arguments[0]);
		int entries = Integer.parseInt(arguments[1]);
		try (LogFolder log = LogFolder.open(folder, SnapshotHeader.getDefaultInstance()).log()) {
			for (int term = 1; term <= entries; term++) {
				LogEntry entry = LogEntry.newBuilder()
					.setIndex(1)
					.setTerm(term)
					.setCommand(ByteString.copyFrom(new byte[COMMAND_BYTES]))
					.build();
				log.append(List.of(LogRecord.newBuilder().setEntry(entry).build()));
			}
			log.sync();
		}
		LogFolder.Opened opened = LogFolder.open(folder, SnapshotHeader.getDefaultInstance());
		opened.log().close();
		System.exit((opened.recovered().entries().getLast().getTerm() == entries) ? 0 : 2);
	}

}
