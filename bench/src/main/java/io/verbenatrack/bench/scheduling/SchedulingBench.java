package io.verbenatrack.bench.scheduling;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import io.verbenatrack.bench.scheduling.SchedulingBenchReport.WorkloadFigures;

/**
 * Runs each policy on the same arrivals and puts their figures side by side.
 */
public final class SchedulingBench {

	private static final double MS_PER_SECOND = 1_000;

	private static final int WORKLOAD_ARGUMENTS = 4;

	/** A short run before the measured ones, so that their decisions are compiled. */
	private static final int WARM_UP_JOBS = 500;

	private static final int WARM_UP_WORKERS = 30;

	private SchedulingBench() {
	}

	/**
	 * Runs the bench.
	 * @param options what to run
	 * @return the figures
	 */
	public static SchedulingBenchReport run(SchedulingBenchOptions options) {
		run(new SchedulingBenchOptions(options.seed(), WARM_UP_WORKERS, WARM_UP_JOBS, options.shape(), Set.of()),
				Workload.RACK_LOSS);
		List<WorkloadFigures> figures = new TreeSet<>(options.workloads()).stream()
			.map((workload) -> run(options, workload))
			.toList();
		return new SchedulingBenchReport(options, figures);
	}

	/**
	 * Runs the bench and prints its text.
	 * @param args seed, workers, jobs, shape, and then workloads, all of them when none
	 * is given
	 */
	public static void main(String[] args) {
		Set<Workload> workloads = EnumSet.noneOf(Workload.class);
		Arrays.stream(args).skip(WORKLOAD_ARGUMENTS).map(Workload::valueOf).forEach(workloads::add);
		SchedulingBenchOptions options = new SchedulingBenchOptions(Long.parseLong(args[0]), Integer.parseInt(args[1]),
				Integer.parseInt(args[2]), FleetShape.valueOf(args[3]),
				workloads.isEmpty() ? EnumSet.allOf(Workload.class) : workloads);
		System.out.print(run(options).toText());
	}

	private static WorkloadFigures run(SchedulingBenchOptions options, Workload workload) {
		WorkloadPlan plan = new PlanFactory(options, workload).plan();
		List<PolicyFigures> figures = Arrays.stream(Policy.values())
			.map((policy) -> new Simulation(plan, policy.scheduler(), options.seed()).run().figures(policy.title()))
			.toList();
		double meanRunTimeMs = plan.jobs()
			.stream()
			.filter((job) -> !job.cancelled())
			.mapToLong(PlannedJob::runTimeMs)
			.average()
			.orElse(0);
		return new WorkloadFigures(workload, plan.jobs().size(), plan.workOverCapacityMs() / MS_PER_SECOND,
				plan.longestPathMs() / MS_PER_SECOND, meanRunTimeMs / MS_PER_SECOND, figures);
	}

}
