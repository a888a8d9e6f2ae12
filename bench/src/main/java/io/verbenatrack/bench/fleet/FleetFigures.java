package io.verbenatrack.bench.fleet;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

import io.verbenatrack.fleet.model.RunOutcome;

/**
 * Means, over the runs of a load pattern, of the figures on runs and on the distribution
 * of the earned credit.
 */
final class FleetFigures {

	private final Map<String, Double> sums = new LinkedHashMap<>();

	private int results;

	void add(FleetResult result) {
		this.results++;
		RunStatistics runs = result.runs();
		add("started", runs.started());
		add("done", runs.ended(RunOutcome.DONE));
		add("stopped", runs.ended(RunOutcome.STOPPED));
		add("broken", runs.ended(RunOutcome.BROKEN));
		add("preempted", runs.preempted());
		add("preempted per done", (double) runs.preempted() / Math.max(1, runs.ended(RunOutcome.DONE)));
		add("steps preempted", runs.stepsPreempted());
		add("more than once", runs.stepsPreemptedAgain());
		add("wasted core s", result.lostCoreSeconds());
		add("worst account", result.shares().worstAccountShare());
		result.shares().classShares().forEach((name, share) -> add(name, share));
		result.shares().widestTenthShares().forEach((name, share) -> add("widest " + name, share));
	}

	private void add(String name, double value) {
		this.sums.merge(name, value, Double::sum);
	}

	@Override
	public String toString() {
		return this.sums.entrySet().stream().map((entry) -> {
			double mean = entry.getValue() / this.results;
			return entry.getKey() + String.format(Locale.ROOT, (mean < 10) ? " %.3f" : " %.0f", mean);
		}).collect(Collectors.joining(", "));
	}

}
