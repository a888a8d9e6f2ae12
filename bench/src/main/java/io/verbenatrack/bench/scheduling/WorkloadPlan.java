package io.verbenatrack.bench.scheduling;

import java.util.Comparator;
import java.util.List;

import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.WorkerSpec;

/**
 * Input of one simulation, the same for each policy.
 *
 * @param workload the workload
 * @param declarations the configuration in force
 * @param workers the workers of the fleet
 * @param jobs the jobs with their arrival times and actual run times
 * @param spanMs the time over which the jobs arrive, in milliseconds
 */
record WorkloadPlan(Workload workload, Declarations declarations, List<WorkerSpec> workers, List<PlannedJob> jobs,
		long spanMs) {

	private static final int FAILING_WORKER_INTERVAL = 15;

	boolean failsAllJobs(WorkerSpec worker) {
		return this.workload == Workload.BLACK_HOLES && this.workers.indexOf(worker) % FAILING_WORKER_INTERVAL == 0;
	}

	List<WorkerSpec> lostRack() {
		WorkerSpec first = this.workers.getFirst();
		return this.workers.stream()
			.filter((worker) -> this.workload == Workload.RACK_LOSS && worker.rack().equals(first.rack()))
			.toList();
	}

	// Lower bound on the makespan: the maximum over all arrivals of the arrival time plus
	// the work that arrives from then on, divided by the capacity.
	long workOverCapacityMs() {
		double capacity = this.workers.stream().mapToInt(WorkerSpec::accelerators).sum();
		double left = 0;
		double bound = 0;
		Comparator<PlannedJob> lastFirst = Comparator.comparingLong(PlannedJob::arrivalMs).reversed();
		for (PlannedJob job : this.jobs.stream().filter((job) -> !job.cancelled()).sorted(lastFirst).toList()) {
			left += job.work();
			bound = Math.max(bound, job.arrivalMs() + left / capacity);
		}
		return (long) bound;
	}

	// Lower bound on the makespan: the latest end of any job if each starts when it
	// arrives.
	long longestPathMs() {
		return this.jobs.stream()
			.filter((job) -> !job.cancelled())
			.mapToLong((job) -> job.arrivalMs() + job.runTimeMs())
			.max()
			.orElse(0);
	}

}
