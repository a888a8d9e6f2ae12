package io.verbenatrack.bench.scheduling;

import java.util.List;
import java.util.Locale;

/**
 * The figures of each policy on each workload, beside the lower bounds.
 *
 * @param options what was run
 * @param workloads the figures
 */
public record SchedulingBenchReport(SchedulingBenchOptions options, List<WorkloadFigures> workloads) {

	/**
	 * Writes the report for a terminal, a line for each policy and workload.
	 * @return the text
	 */
	public String toText() {
		StringBuilder text = new StringBuilder(PolicyFigures.HEADING).append('\n');
		for (WorkloadFigures workload : this.workloads) {
			text.append(String.format(Locale.ROOT,
					"%s, %d jobs, bound %.0f s over work and %.0f s over the longest path, " + "mean run time %.0f s%n",
					workload.workload(), workload.jobs(), workload.workOverCapacitySeconds(),
					workload.longestPathSeconds(), workload.meanRunTimeSeconds()));
			workload.policies().forEach((figures) -> text.append(figures.toLine()).append('\n'));
		}
		return text.toString();
	}

	/**
	 * The figures of all policies on one workload.
	 *
	 * @param workload the workload
	 * @param jobs jobs in it, bursts and waves included
	 * @param workOverCapacitySeconds the makespan bound from work over capacity
	 * @param longestPathSeconds the makespan bound from the longest path
	 * @param meanRunTimeSeconds the bound on mean completion
	 * @param policies the figures, in the order of the policies
	 */
	public record WorkloadFigures(Workload workload, int jobs, double workOverCapacitySeconds,
			double longestPathSeconds, double meanRunTimeSeconds, List<PolicyFigures> policies) {

	}

}
