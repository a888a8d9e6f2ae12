package io.verbenatrack.bench.scheduling;

import java.util.Set;

/**
 * What one run of the bench covers.
 *
 * @param seed replays the same arrivals
 * @param workers workers of the fleet, each with 8 accelerators, at least 30
 * @param jobs jobs of each workload, before bursts and waves, at least 1
 * @param shape the deployment to imitate
 * @param workloads the workloads to run, in the order of their declaration
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
