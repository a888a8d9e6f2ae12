package io.verbenatrack.bench.scheduling;

import java.util.Locale;

/**
 * Results of one policy on one workload.
 *
 * @param policy the name of the policy
 * @param meanCompletionSeconds the mean time from arrival to end of finished jobs, in
 * seconds
 * @param p95CompletionSeconds the 95th percentile of that time, in seconds
 * @param p95LargeGangWaitSeconds the 95th percentile, over gangs of 8 or more
 * accelerators, of the time from arrival to end minus the run time, in seconds; repeated
 * work counts as waiting
 * @param fragmentation the mean over time of the share of free accelerators that the
 * largest waiting guaranteed gang cannot use, 0 while none waits
 * @param makespanOverBound the ratio of the makespan to its lower bound
 * @param guaranteesDemanded the number of urgent jobs that fitted into the unused
 * guarantees of their accounts
 * @param guaranteesBroken the number of these jobs that did not start within 1.8 s
 * @param slowestDemandMs the longest time to start of such a job, in milliseconds
 * @param partialGangs the number of gangs started without all members
 * @param badPlacements the number of gangs placed on accelerators that were in use, not
 * adjacent or too few
 * @param jobsWithoutOutcome the number of submitted jobs without an outcome
 * @param jobsDoubled the number of duplicate outcomes
 * @param jobsRefused the number of refused jobs
 * @param requeues how often a job was requeued
 * @param decisionP50Micros the median time of a decision in microseconds
 * @param decisionP99Micros the 99th percentile of that time in microseconds
 * @param decisionMaxMicros the longest decision in microseconds
 * @param urgentDecidedMaxMillis the longest time from the arrival of an urgent job to the
 * end of its decision in milliseconds, including the wait for earlier events
 * @param decisions the number of events handled
 * @param mostRunningMembers the maximum number of accelerators in use at the same time
 * @param stateBytes the size of the scheduler's state as text in bytes, when the last job
 * arrives
 */
public record PolicyResult(String policy, double meanCompletionSeconds, double p95CompletionSeconds,
		double p95LargeGangWaitSeconds, double fragmentation, double makespanOverBound, int guaranteesDemanded,
		int guaranteesBroken, long slowestDemandMs, int partialGangs, int badPlacements, int jobsWithoutOutcome,
		int jobsDoubled, int jobsRefused, int requeues, long decisionP50Micros, long decisionP99Micros,
		long decisionMaxMicros, double urgentDecidedMaxMillis, long decisions, int mostRunningMembers,
		long stateBytes) {

	static final String HEADING = "policy            mean s    p95 s   wait8 s    frag  mk/bd  urgent brk  slow ms"
			+ "  part   bad noOut  dbl  refus  requeue  p50us   p99us   maxus  urgMs   events members  bytes";

	String toLine() {
		return String.format(Locale.ROOT,
				"  %-14s %8.0f %8.0f %9.0f %7.3f %6.3f %7d %3d %8d %5d %5d %5d %4d %6d %8d %6d %7d %7d %6.1f %8d %7d %6d",
				this.policy, this.meanCompletionSeconds, this.p95CompletionSeconds, this.p95LargeGangWaitSeconds,
				this.fragmentation, this.makespanOverBound, this.guaranteesDemanded, this.guaranteesBroken,
				this.slowestDemandMs, this.partialGangs, this.badPlacements, this.jobsWithoutOutcome, this.jobsDoubled,
				this.jobsRefused, this.requeues, this.decisionP50Micros, this.decisionP99Micros, this.decisionMaxMicros,
				this.urgentDecidedMaxMillis, this.decisions, this.mostRunningMembers, this.stateBytes);
	}

}
