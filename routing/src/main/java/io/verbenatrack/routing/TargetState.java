package io.verbenatrack.routing;

import java.util.LinkedHashMap;
import java.util.Map;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.StateChart;
import io.verbenatrack.routing.rules.OutlierDetection;

/**
 * The dispatches of this instance on one target, their statistics and the ejection state
 * of the target.
 */
final class TargetState {

	private static final StateChart CHART = StateChart.load(TargetState.class, "/charts/target.yaml");

	private static final int PROBATION_ANSWERS = 3;

	private static final double SMOOTHING_GAIN = 0.1;

	private final Map<AttemptId, Long> openDispatches = new LinkedHashMap<>();

	private TargetSpec spec;

	private String phase = CHART.initialState();

	private int samples;

	private int consecutiveFailures;

	private double failureShare;

	private double meanNanos;

	private long ejectedUntilNanos;

	private int ejectionCount;

	private int probationAnswers;

	private long lastUsedNanos;

	TargetState(TargetSpec spec) {
		this.spec = spec;
	}

	void updateSpec(TargetSpec announced) {
		this.spec = announced;
	}

	TargetSpec spec() {
		return this.spec;
	}

	int inFlight() {
		return this.openDispatches.size();
	}

	boolean isIdleSince(long nanos) {
		return this.openDispatches.isEmpty() && this.lastUsedNanos < nanos;
	}

	void dispatchStarted(AttemptId attempt, long nowNanos) {
		this.openDispatches.put(attempt, nowNanos);
		this.lastUsedNanos = nowNanos;
	}

	void dispatchAnswered(AttemptId attempt, long nowNanos) {
		long began = end(attempt, nowNanos);
		recordResult(false);
		this.meanNanos += Math.max(SMOOTHING_GAIN, 1.0 / this.samples) * (nowNanos - began - this.meanNanos);
		this.consecutiveFailures = 0;
		if (this.phase.equals("probation") && ++this.probationAnswers >= PROBATION_ANSWERS) {
			transition("proved");
			this.ejectionCount = 0;
		}
	}

	void dispatchFailed(AttemptId attempt, long nowNanos) {
		end(attempt, nowNanos);
		recordResult(true);
		this.consecutiveFailures++;
	}

	void dispatchEnded(AttemptId attempt, long nowNanos) {
		end(attempt, nowNanos);
	}

	private long end(AttemptId attempt, long nowNanos) {
		this.lastUsedNanos = nowNanos;
		Long began = this.openDispatches.remove(attempt);
		return (began != null) ? began : nowNanos;
	}

	private void recordResult(boolean failure) {
		this.samples = Math.min(this.samples + 1, Integer.MAX_VALUE - 1);
		double value = failure ? 1 : 0;
		this.failureShare += Math.max(SMOOTHING_GAIN, 1.0 / this.samples) * (value - this.failureShare);
	}

	boolean isOutlier(long medianNanos, long nowNanos) {
		if (isEjected()) {
			return true;
		}
		long oldest = this.openDispatches.values().stream().findFirst().map((began) -> nowNanos - began).orElse(0L);
		return OutlierDetection.isOutlier(new OutlierDetection.TargetStatistics(this.samples, this.consecutiveFailures,
				this.failureShare, (long) this.meanNanos, oldest), medianNanos);
	}

	boolean isEjected() {
		return this.phase.equals("set-aside");
	}

	boolean isOnProbation() {
		return this.phase.equals("probation");
	}

	boolean failedOnProbation() {
		return isOnProbation() && this.consecutiveFailures > 0;
	}

	void eject(long durationNanos, long nowNanos) {
		transition("set-aside");
		this.ejectedUntilNanos = nowNanos + durationNanos;
		this.ejectionCount++;
		this.probationAnswers = 0;
	}

	void restore() {
		transition("restored");
	}

	void endEjectionIfDue(long nowNanos) {
		if (isEjected() && nowNanos >= this.ejectedUntilNanos) {
			transition("probation-due");
			this.consecutiveFailures = 0;
			this.failureShare = 0;
			this.samples = 0;
			this.meanNanos = 0;
		}
	}

	int ejectionCount() {
		return this.ejectionCount;
	}

	boolean hasEnoughSamples() {
		return this.samples >= OutlierDetection.MINIMUM_SAMPLES;
	}

	long meanNanos() {
		return (long) this.meanNanos;
	}

	private void transition(String event) {
		this.phase = CHART.next(this.phase, event).orElse(this.phase);
	}

}
