package io.verbenatrack.bench.scheduling;

import java.util.List;
import java.util.Locale;

/**
 * Results of all policies on all workloads, with lower bounds.
 *
 * @param options the options of the run
 * @param workloads the results of each workload
 */
public record SchedulingBenchReport(SchedulingBenchOptions options, List<WorkloadResult> workloads) {

	/**
	 * Formats the report as a table for a terminal.
	 * @return the text, one line for each workload and policy
	 */
	public String toText() {
		StringBuilder text = new StringBuilder(PolicyResult.HEADING).append('\n');
		for (WorkloadResult workload : this.workloads) {
			text.append(String.format(Locale.ROOT,
					"%s, %d jobs, bound %.0f s over work and %.0f s over the longest path, " + "mean run time %.0f s%n",
					workload.workload(), workload.jobs(), workload.workOverCapacitySeconds(),
					workload.longestPathSeconds(), workload.meanRunTimeSeconds()));
			workload.policies().forEach((result) -> text.append(result.toLine()).append('\n'));
		}
		return text.toString();
	}

	/**
	 * Results of all policies on one workload.
	 *
	 * @param workload the workload
	 * @param jobs the number of jobs in the workload, with those added at half time
	 * @param workOverCapacitySeconds the lower bound on the makespan from the total work
	 * and the capacity, in seconds
	 * @param longestPathSeconds the lower bound on the makespan from the latest possible
	 * end of a single job, in seconds
	 * @param meanRunTimeSeconds the mean run time in seconds, a lower bound on the mean
	 * completion time
	 * @param policies the results, in the order of the policies
	 */
	public record WorkloadResult(Workload workload, int jobs, double workOverCapacitySeconds, double longestPathSeconds,
			double meanRunTimeSeconds, List<PolicyResult> policies) {

	}

}
