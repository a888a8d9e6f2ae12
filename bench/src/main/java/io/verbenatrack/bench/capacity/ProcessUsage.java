package io.verbenatrack.bench.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Reads the CPU time and memory of a local process from the proc file system.
 */
final class ProcessUsage {

	private static final double KIB_PER_MB = 1_000_000 / 1024.0;

	/**
	 * Index of the user time among the fields of /proc/PID/stat after the process name.
	 */
	private static final int USER_TIME_INDEX = 11;

	private static final int SYSTEM_TIME_INDEX = 12;

	private static final long NANOS_PER_TICK = 10_000_000;

	private ProcessUsage() {
	}

	// The kernel counts in ticks of 10 ms, so the resolution over 5 s is 0.2% of a core.
	static long cpuNanos(long pid) throws IOException {
		String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
		String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
		return (Long.parseLong(fields[USER_TIME_INDEX]) + Long.parseLong(fields[SYSTEM_TIME_INDEX])) * NANOS_PER_TICK;
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
	 * Memory use of a process, in MB of 1,000,000 bytes.
	 *
	 * @param resident all resident pages
	 * @param privatePages private pages, which no other process maps
	 * @param anonymous pages without a backing file
	 */
	record Memory(double resident, double privatePages, double anonymous) {

	}

}
