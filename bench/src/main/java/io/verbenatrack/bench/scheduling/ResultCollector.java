package io.verbenatrack.bench.scheduling;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

import org.HdrHistogram.Histogram;

import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobOutcome;
import io.verbenatrack.model.Urgency;
import io.verbenatrack.scheduling.SchedulingEvent;
import io.verbenatrack.scheduling.SchedulingView;

/**
 * Collects the results of one policy on one workload.
 */
final class ResultCollector {

	private static final int LARGE_GANG = 8;

	private static final long GUARANTEE_WAIT_LIMIT_MS = 1_800;

	private static final double MS_PER_SECOND = 1_000;

	private static final double NANOS_PER_MS = 1_000_000;

	private static final long SAMPLE_INTERVAL_MS = 60_000;

	private static final int SIGNIFICANT_DIGITS = 3;

	private final WorkloadPlan plan;

	private final AcceleratorMap fleet;

	private final Map<JobId, SimulatedJob> runs;

	private final GuaranteeCheck guaranteeCheck;

	private final Histogram decisionNanos = new Histogram(SIGNIFICANT_DIGITS);

	/**
	 * Time to start of each urgent job within its guarantee; {@link Long#MAX_VALUE} until
	 * it starts.
	 */
	private final Map<JobId, Long> guaranteeWaitMs = new HashMap<>();

	private final List<Double> fragmentation = new ArrayList<>();

	private double busyUntilMs;

	private double urgentDecidedMaxMs;

	private long lastSampleMs;

	private int partialGangs;

	private int badPlacements;

	private int duplicateOutcomes;

	private int refused;

	private int requeues;

	private int maximumInUse;

	private long stateBytes;

	private long closedMs;

	ResultCollector(WorkloadPlan plan, AcceleratorMap fleet, Map<JobId, SimulatedJob> runs) {
		this.plan = plan;
		this.fleet = fleet;
		this.runs = runs;
		this.guaranteeCheck = new GuaranteeCheck(plan.declarations(), runs.values());
	}

	void recordDecision(SchedulingEvent event, long nowMs, long nanos) {
		this.decisionNanos.recordValue(nanos);
		this.busyUntilMs = Math.max(this.busyUntilMs, nowMs) + nanos / NANOS_PER_MS;
		if (event instanceof SchedulingEvent.JobSubmitted submitted && submitted.job().urgency() == Urgency.URGENT) {
			this.urgentDecidedMaxMs = Math.max(this.urgentDecidedMaxMs, this.busyUntilMs - nowMs);
		}
	}

	void recordSubmission(SimulatedJob run) {
		if (run.job.spec().urgency() == Urgency.URGENT && this.guaranteeCheck.fitsUnusedGuarantees(run)) {
			this.guaranteeWaitMs.put(run.job.spec().id(), Long.MAX_VALUE);
		}
	}

	void recordPlacement(boolean valid) {
		this.badPlacements += valid ? 0 : 1;
	}

	void recordStart(SimulatedJob run, long nowMs) {
		this.partialGangs += run.fullyPrepared() ? 0 : 1;
		this.guaranteeWaitMs.computeIfPresent(run.job.spec().id(),
				(job, waited) -> Math.min(waited, nowMs - run.job.arrivalMs()));
	}

	void recordRequeue() {
		this.requeues++;
	}

	void recordEnd(SimulatedJob run, JobOutcome outcome, long nowMs) {
		this.duplicateOutcomes += run.ended() ? 1 : 0;
		this.refused += (outcome instanceof JobOutcome.Refused) ? 1 : 0;
		run.finished = outcome instanceof JobOutcome.Finished;
		run.endedMs = nowMs;
	}

	void sample(long nowMs) {
		if (nowMs < this.lastSampleMs + SAMPLE_INTERVAL_MS || nowMs > this.plan.spanMs()) {
			return;
		}
		this.lastSampleMs = nowMs;
		this.maximumInUse = Math.max(this.maximumInUse, this.fleet.inUse());
		int largest = this.runs.values()
			.stream()
			.filter((run) -> run.waiting() && this.guaranteeCheck.hasLargeEnoughGuarantee(run))
			.mapToInt(SimulatedJob::gang)
			.max()
			.orElse(0);
		this.fragmentation.add((largest != 0) ? this.fleet.fragmentation(largest) : 0);
	}

	void recordEndOfRun(long nowMs) {
		this.closedMs = nowMs;
	}

	void recordStateSize(SchedulingView view) {
		this.stateBytes = view.toString().getBytes(StandardCharsets.UTF_8).length;
	}

	PolicyResult result(String policy) {
		Collection<SimulatedJob> all = this.runs.values();
		List<Long> completions = sorted((run) -> run.finished, (run) -> run.endedMs - run.job.arrivalMs());
		List<Long> waits = sorted((run) -> run.gang() >= LARGE_GANG && !run.job.cancelled(),
				(run) -> run.waitedMs(run.ended() ? run.endedMs : this.closedMs));
		long makespan = all.stream().filter((run) -> run.finished).mapToLong((run) -> run.endedMs).max().orElse(0);
		long bound = Math.max(this.plan.longestPathMs(), this.plan.workOverCapacityMs());
		return new PolicyResult(policy, mean(completions) / MS_PER_SECOND, p95(completions) / MS_PER_SECOND,
				p95(waits) / MS_PER_SECOND,
				this.fragmentation.stream().mapToDouble(Double::doubleValue).average().orElse(0),
				(double) makespan / bound, this.guaranteeWaitMs.size(),
				(int) this.guaranteeWaitMs.values()
					.stream()
					.filter((waited) -> waited > GUARANTEE_WAIT_LIMIT_MS)
					.count(),
				this.guaranteeWaitMs.values().stream().mapToLong(Long::longValue).max().orElse(0), this.partialGangs,
				this.badPlacements, (int) all.stream().filter((run) -> !run.ended()).count(), this.duplicateOutcomes,
				this.refused, this.requeues, micros(this.decisionNanos.getValueAtPercentile(50)),
				micros(this.decisionNanos.getValueAtPercentile(99)), micros(this.decisionNanos.getMaxValue()),
				this.urgentDecidedMaxMs, this.decisionNanos.getTotalCount(), this.maximumInUse, this.stateBytes);
	}

	private List<Long> sorted(Predicate<SimulatedJob> filter, ToLongFunction<SimulatedJob> value) {
		return this.runs.values().stream().filter(filter).map(value::applyAsLong).sorted().toList();
	}

	private static double mean(List<Long> values) {
		return values.stream().mapToLong(Long::longValue).average().orElse(0);
	}

	private static double p95(List<Long> values) {
		return values.isEmpty() ? 0 : values.get((int) Math.ceil(values.size() * 0.95) - 1);
	}

	private static long micros(long nanos) {
		return nanos / 1_000;
	}

}
