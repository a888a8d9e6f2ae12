package io.verbenatrack.bench.scheduling;

import java.util.Locale;

/**
 * What one policy reached on one workload.
 *
 * @param policy the policy
 * @param meanCompletionSeconds mean time from arrival to the end of jobs that finished
 * @param p95CompletionSeconds the 95th percentile of the same
 * @param p95LargeGangWaitSeconds 95th percentile, over gangs of 8 and more, of the time
 * from arrival to the end beyond the run time, repeated work included
 * @param fragmentation mean over time of the share of free accelerators that the largest
 * waiting guaranteed shape cannot use, 0 while none waits
 * @param makespanOverBound the last end over the lower bound
 * @param guaranteesDemanded urgent jobs that fitted their account's unused guarantee
 * @param guaranteesBroken those of them without a clear placement after 1.8 s
 * @param slowestDemandMs the longest that such a job waited for its start
 * @param partialGangs gangs started without all members
 * @param badPlacements gangs on accelerators that were held, scattered or too few
 * @param jobsWithoutOutcome jobs that were submitted and have no outcome
 * @param jobsDoubled jobs with more than one outcome
 * @param jobsRefused jobs that were refused
 * @param requeues how often a job went back to waiting
 * @param decisionP50Micros median time of a decision
 * @param decisionP99Micros 99th percentile of the same
 * @param decisionMaxMicros the longest decision
 * @param urgentDecidedMaxMillis longest time from an urgent arrival to the end of its
 * decision, waiting for earlier events included
 * @param decisions how many events were decided on
 * @param mostRunningMembers the most accelerators that were held at once
 * @param stateBytes length of the state as text, when the last job arrives
 */
public record PolicyFigures(String policy, double meanCompletionSeconds, double p95CompletionSeconds,
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
