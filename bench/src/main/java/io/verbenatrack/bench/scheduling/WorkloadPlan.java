package io.verbenatrack.bench.scheduling;

import java.util.Comparator;
import java.util.List;

import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.WorkerSpec;

/**
 * All that happens in one run, the same for each policy.
 *
 * @param workload the workload
 * @param declarations the configuration in force
 * @param workers the fleet
 * @param jobs the arrivals and the table of true run times
 * @param spanMs the time over which the jobs arrive
 */
record WorkloadPlan(Workload workload, Declarations declarations, List<WorkerSpec> workers, List<PlannedJob> jobs,
		long spanMs) {

	private static final int BLACK_HOLE_EVERY = 15;

	boolean blackHole(WorkerSpec worker) {
		return this.workload == Workload.BLACK_HOLES && this.workers.indexOf(worker) % BLACK_HOLE_EVERY == 0;
	}

	List<WorkerSpec> lostRack() {
		WorkerSpec first = this.workers.getFirst();
		return this.workers.stream()
			.filter((worker) -> this.workload == Workload.RACK_LOSS && worker.rack().equals(first.rack()))
			.toList();
	}

	// What no schedule can beat: the work that is left at each arrival, over the
	// capacity.
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

	// What no schedule can beat: the latest end of a job that starts when it arrives.
	long longestPathMs() {
		return this.jobs.stream()
			.filter((job) -> !job.cancelled())
			.mapToLong((job) -> job.arrivalMs() + job.runTimeMs())
			.max()
			.orElse(0);
	}

}
