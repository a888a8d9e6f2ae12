package io.verbenatrack.control.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import io.verbenatrack.control.replica.RecoveredLog;
import io.verbenatrack.protocol.control.LogRecord;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * The log files of a data folder, of which the one with the highest number counts.
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
	 * Reads the log and begins a new file with what it holds, synced, so that nothing
	 * that counts rests on an earlier sync.
	 * @param folder the data folder
	 * @param snapshot the latest snapshot in it
	 * @return the log and what it held
	 * @throws IOException when it cannot be read or written
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
	 * Adds records, which last after the next {@link #sync()}.
	 * @param records the records
	 * @throws IOException when they cannot be written
	 */
	public void append(List<LogRecord> records) throws IOException {
		this.writer.append(records);
	}

	/**
	 * Makes everything added so far last.
	 * @throws IOException when that cannot be relied on
	 */
	public void sync() throws IOException {
		this.writer.sync();
	}

	/**
	 * Begins a new file and drops the older ones.
	 * @param records all that the log holds
	 * @throws IOException when the new file cannot be written; the older ones stay
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
	 * @param recovered what it held
	 * @param tornBytes how many bytes of its tail were torn and cut
	 */
	public record Opened(LogFolder log, RecoveredLog recovered, long tornBytes) {

	}

}
