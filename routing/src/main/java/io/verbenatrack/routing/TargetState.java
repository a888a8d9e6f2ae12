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

	private static final int PROVING_ANSWERS = 3;

	private static final double GAIN = 0.1;

	private final Map<AttemptId, Long> open = new LinkedHashMap<>();

	private TargetSpec spec;

	private String phase = CHART.initialState();

	private int samples;

	private int consecutiveFailures;

	private double failureShare;

	private double meanNanos;

	private long setAsideUntilNanos;

	private int timesSetAside;

	private int provingAnswers;

	private long lastUsedNanos;

	TargetState(TargetSpec spec) {
		this.spec = spec;
	}

	void announce(TargetSpec announced) {
		this.spec = announced;
	}

	TargetSpec spec() {
		return this.spec;
	}

	int inFlight() {
		return this.open.size();
	}

	boolean isIdleSince(long nanos) {
		return this.open.isEmpty() && this.lastUsedNanos < nanos;
	}

	void begin(AttemptId attempt, long nowNanos) {
		this.open.put(attempt, nowNanos);
		this.lastUsedNanos = nowNanos;
	}

	void answered(AttemptId attempt, long nowNanos) {
		long began = end(attempt, nowNanos);
		sample(false);
		this.meanNanos += Math.max(GAIN, 1.0 / this.samples) * (nowNanos - began - this.meanNanos);
		this.consecutiveFailures = 0;
		if (this.phase.equals("probation") && ++this.provingAnswers >= PROVING_ANSWERS) {
			move("proved");
			this.timesSetAside = 0;
		}
	}

	void failed(AttemptId attempt, long nowNanos) {
		end(attempt, nowNanos);
		sample(true);
		this.consecutiveFailures++;
	}

	void ended(AttemptId attempt, long nowNanos) {
		end(attempt, nowNanos);
	}

	private long end(AttemptId attempt, long nowNanos) {
		this.lastUsedNanos = nowNanos;
		Long began = this.open.remove(attempt);
		return (began != null) ? began : nowNanos;
	}

	private void sample(boolean failure) {
		this.samples = Math.min(this.samples + 1, Integer.MAX_VALUE - 1);
		double value = failure ? 1 : 0;
		this.failureShare += Math.max(GAIN, 1.0 / this.samples) * (value - this.failureShare);
	}

	boolean looksBad(long medianNanos, long nowNanos) {
		if (isSetAside()) {
			return true;
		}
		long oldest = this.open.values().stream().findFirst().map((began) -> nowNanos - began).orElse(0L);
		return OutlierDetection.looksBad(new OutlierDetection.TargetStatistics(this.samples, this.consecutiveFailures,
				this.failureShare, (long) this.meanNanos, oldest), medianNanos);
	}

	boolean isSetAside() {
		return this.phase.equals("set-aside");
	}

	boolean isOnProbation() {
		return this.phase.equals("probation");
	}

	boolean failedSinceProbation() {
		return isOnProbation() && this.consecutiveFailures > 0;
	}

	void setAside(long durationNanos, long nowNanos) {
		move("set-aside");
		this.setAsideUntilNanos = nowNanos + durationNanos;
		this.timesSetAside++;
		this.provingAnswers = 0;
	}

	void restore() {
		move("restored");
	}

	void endSetAside(long nowNanos) {
		if (isSetAside() && nowNanos >= this.setAsideUntilNanos) {
			move("probation-due");
			this.consecutiveFailures = 0;
			this.failureShare = 0;
			this.samples = 0;
			this.meanNanos = 0;
		}
	}

	int timesSetAside() {
		return this.timesSetAside;
	}

	boolean hasMean() {
		return this.samples >= OutlierDetection.MINIMUM_SAMPLES;
	}

	long meanNanos() {
		return (long) this.meanNanos;
	}

	private void move(String event) {
		this.phase = CHART.next(this.phase, event).orElse(this.phase);
	}

}
