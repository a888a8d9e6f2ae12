package io.verbenatrack.bench.control;

import java.nio.file.Path;

/**
 * Options of the control bench.
 *
 * @param seed the seed of the first schedule; later schedules use consecutive seeds
 * @param schedules the number of schedules to run
 * @param threads the number of schedules to run in parallel
 * @param folder the folder for temporary log files
 */
public record ControlBenchOptions(long seed, int schedules, int threads, Path folder) {

	/** Default number of schedules to run in parallel. */
	public static final int DEFAULT_THREADS = 3;

}
