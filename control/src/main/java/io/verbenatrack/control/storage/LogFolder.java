package io.verbenatrack.control.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import io.verbenatrack.control.replica.RecoveredLog;
import io.verbenatrack.protocol.control.LogRecord;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * The log files of a data folder. Only the file with the highest number is current.
 */
public final class LogFolder implements AutoCloseable {

	private static final String PREFIX = "log-";

	private static final String SUFFIX = ".records";

	private final Path folder;

	private LogWriter writer;

	private long number;

	private LogFolder(Path folder) {
		this.folder = folder;
	}

	/**
	 * Reads the log and rewrites its content to a new, synced file, so that the
	 * durability of the recovered state does not depend on earlier syncs.
	 * @param folder the data folder
	 * @param snapshot the latest snapshot in it
	 * @return the log and the state recovered from it
	 * @throws IOException if the log cannot be read or written
	 */
	public static Opened open(Path folder, SnapshotHeader snapshot) throws IOException {
		LogFolder log = new LogFolder(folder);
		List<Path> files = DurableFiles.list(folder, PREFIX, SUFFIX);
		LogRecovery recovery = new LogRecovery(snapshot);
		long tornBytes = 0;
		if (!files.isEmpty()) {
			Path latest = files.get(files.size() - 1);
			tornBytes = LogReader.read(latest, recovery::accept);
			log.number = numberOf(latest);
		}
		RecoveredLog recovered = recovery.recovered();
		log.roll(recovery.compactedRecords());
		return new Opened(log, recovered, tornBytes);
	}

	static boolean isEmpty(Path folder) throws IOException {
		return DurableFiles.list(folder, PREFIX, SUFFIX).isEmpty();
	}

	private static long numberOf(Path file) {
		String name = file.getFileName().toString();
		return Long.parseLong(name.substring(PREFIX.length(), name.length() - SUFFIX.length()));
	}

	/**
	 * Appends records, which are durable after the next {@link #sync()}.
	 * @param records the records
	 * @throws IOException if they cannot be written
	 */
	public void append(List<LogRecord> records) throws IOException {
		this.writer.append(records);
	}

	/**
	 * Makes all appended records durable.
	 * @throws IOException if the records may not be durable
	 */
	public void sync() throws IOException {
		this.writer.sync();
	}

	/**
	 * Starts a new log file and deletes the older ones.
	 * @param records the complete content of the log
	 * @throws IOException if the new file cannot be written; the older ones are kept
	 */
	public void roll(List<LogRecord> records) throws IOException {
		long next = this.number + 1;
		LogWriter created = LogWriter.create(this.folder.resolve(PREFIX + "%016d".formatted(next) + SUFFIX), records);
		close();
		this.writer = created;
		this.number = next;
		for (Path file : DurableFiles.list(this.folder, PREFIX, SUFFIX)) {
			if (numberOf(file) < next) {
				Files.delete(file);
			}
		}
	}

	@Override
	public void close() throws IOException {
		if (this.writer != null) {
			this.writer.close();
		}
	}

	/**
	 * An opened log.
	 *
	 * @param log the log
	 * @param recovered the state recovered from it
	 * @param tornBytes the size of the discarded torn tail, in bytes
	 */
	public record Opened(LogFolder log, RecoveredLog recovered, long tornBytes) {

	}

}
