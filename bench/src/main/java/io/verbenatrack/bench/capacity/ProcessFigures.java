package io.verbenatrack.bench.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Reads what a process of this machine uses from the proc file system.
 */
final class ProcessFigures {

	private static final double KIB_PER_MB = 1_000_000 / 1024.0;

	/** Place of the user time after the process name. */
	private static final int USER_TICKS = 11;

	private static final int SYSTEM_TICKS = 12;

	private static final long NANOS_PER_TICK = 10_000_000;

	private ProcessFigures() {
	}

	// The kernel counts in steps of 10 ms, which is 0.2% of a core over 5 s.
	static long cpuNanos(long pid) throws IOException {
		String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
		String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
		return (Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[SYSTEM_TICKS])) * NANOS_PER_TICK;
	}

	static Memory memory(long pid) throws IOException {
		List<String> lines = Files.readAllLines(Path.of("/proc/" + pid + "/smaps_rollup"));
		return new Memory(megabytes(lines, "Rss:"),
				megabytes(lines, "Private_Clean:") + megabytes(lines, "Private_Dirty:"),
				megabytes(lines, "Anonymous:"));
	}

	private static double megabytes(List<String> lines, String key) {
		return lines.stream()
			.filter((line) -> line.startsWith(key))
			.mapToDouble((line) -> Long.parseLong(line.replaceAll("\\D+", "")) / KIB_PER_MB)
			.sum();
	}

	/**
	 * Memory of a process, in MB of 1,000,000 bytes.
	 *
	 * @param resident all resident pages
	 * @param unshared pages that no other process maps
	 * @param anonymous pages that no file backs
	 */
	record Memory(double resident, double unshared, double anonymous) {

	}

}
