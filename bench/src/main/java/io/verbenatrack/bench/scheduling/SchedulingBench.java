package io.verbenatrack.bench.scheduling;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import io.verbenatrack.bench.scheduling.SchedulingBenchReport.WorkloadResult;

/**
 * Runs all policies on the same workloads and compares the results.
 */
public final class SchedulingBench {

	private static final double MS_PER_SECOND = 1_000;

	private static final int WORKLOAD_ARGUMENTS = 4;

	/** Size of the warm-up run, after which the scheduler is JIT-compiled. */
	private static final int WARM_UP_JOBS = 500;

	private static final int WARM_UP_WORKERS = 30;

	private SchedulingBench() {
	}

	/**
	 * Runs the bench.
	 * @param options the options
	 * @return the results
	 */
	public static SchedulingBenchReport run(SchedulingBenchOptions options) {
		run(new SchedulingBenchOptions(options.seed(), WARM_UP_WORKERS, WARM_UP_JOBS, options.shape(), Set.of()),
				Workload.RACK_LOSS);
		List<WorkloadResult> results = new TreeSet<>(options.workloads()).stream()
			.map((workload) -> run(options, workload))
			.toList();
		return new SchedulingBenchReport(options, results);
	}

	/**
	 * Runs the bench and prints the report.
	 * @param args the seed, the number of workers, the number of jobs, the
	 * {@link FleetShape}, and optionally the workloads to run instead of all
	 */
	public static void main(String[] args) {
		Set<Workload> workloads = EnumSet.noneOf(Workload.class);
		Arrays.stream(args).skip(WORKLOAD_ARGUMENTS).map(Workload::valueOf).forEach(workloads::add);
		SchedulingBenchOptions options = new SchedulingBenchOptions(Long.parseLong(args[0]), Integer.parseInt(args[1]),
				Integer.parseInt(args[2]), FleetShape.valueOf(args[3]),
				workloads.isEmpty() ? EnumSet.allOf(Workload.class) : workloads);
		System.out.print(run(options).toText());
	}

	private static WorkloadResult run(SchedulingBenchOptions options, Workload workload) {
		WorkloadPlan plan = new WorkloadPlanGenerator(options, workload).generate();
		List<PolicyResult> results = Arrays.stream(Policy.values())
			.map((policy) -> new Simulation(plan, policy.scheduler(), options.seed()).run().result(policy.title()))
			.toList();
		double meanRunTimeMs = plan.jobs()
			.stream()
			.filter((job) -> !job.cancelled())
			.mapToLong(PlannedJob::runTimeMs)
			.average()
			.orElse(0);
		return new WorkloadResult(workload, plan.jobs().size(), plan.workOverCapacityMs() / MS_PER_SECOND,
				plan.longestPathMs() / MS_PER_SECOND, meanRunTimeMs / MS_PER_SECOND, results);
	}

}
