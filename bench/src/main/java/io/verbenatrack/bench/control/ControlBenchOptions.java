package io.verbenatrack.bench.control;

import java.nio.file.Path;

/**
 * What to measure.
 *
 * @param seed the first seed
 * @param schedules how many schedules to run
 * @param threads how many schedules run at once
 * @param folder where the log's files are written while measuring
 */
public record ControlBenchOptions(long seed, int schedules, int threads, Path folder) {

	/** How many schedules run at once unless something else is asked for. */
	public static final int DEFAULT_THREADS = 3;

}
