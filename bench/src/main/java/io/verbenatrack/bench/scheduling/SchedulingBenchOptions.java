package io.verbenatrack.bench.scheduling;

import java.util.Set;

/**
 * Options of the scheduling bench.
 *
 * @param seed the seed of all random choices
 * @param workers the number of workers, at least 30, each with 8 accelerators
 * @param jobs the number of jobs in each workload, at least 1, without the jobs that some
 * workloads add at half time
 * @param shape the deployment profile
 * @param workloads the workloads to run; they run in the order of their declaration
 */
public record SchedulingBenchOptions(long seed, int workers, int jobs, FleetShape shape, Set<Workload> workloads) {

	private static final int SMALLEST_FLEET = 30;

	public SchedulingBenchOptions {
		if (workers < SMALLEST_FLEET || jobs < 1) {
			throw new IllegalArgumentException("The bench cannot run " + jobs + " jobs on " + workers
					+ " workers. Give 1 job or more and 30 workers or more.");
		}
		workloads = Set.copyOf(workloads);
	}

}
