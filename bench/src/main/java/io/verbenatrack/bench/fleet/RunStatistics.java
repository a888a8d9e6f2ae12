package io.verbenatrack.bench.fleet;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.policy.FleetEvent;
import io.verbenatrack.model.JobId;

/**
 * Counts how runs ended and which of them were preempted.
 */
final class RunStatistics {

	private final Map<RunOutcome, Integer> ends = new EnumMap<>(RunOutcome.class);

	private final Map<Step, Map<Integer, Set<Integer>>> preemptedRuns = new HashMap<>();

	private int started;

	private int preempted;

	void addStart() {
		this.started++;
	}

	void addEnd(RunOutcome outcome) {
		this.ends.merge(outcome, 1, Integer::sum);
	}

	void addEvents(List<FleetEvent> events) {
		for (FleetEvent event : events) {
			if (event instanceof FleetEvent.RunPreempted preemption) {
				TaskId task = preemption.task();
				this.preempted++;
				this.preemptedRuns.computeIfAbsent(new Step(task.job(), task.step()), (step) -> new HashMap<>())
					.computeIfAbsent(task.index(), (index) -> new HashSet<>())
					.add(preemption.run());
			}
		}
	}

	/**
	 * Returns how many runs ended in a way.
	 * @param outcome the outcome
	 * @return the number of runs
	 */
	int ended(RunOutcome outcome) {
		return this.ends.getOrDefault(outcome, 0);
	}

	int started() {
		return this.started;
	}

	int preempted() {
		return this.preempted;
	}

	/**
	 * Returns the number of steps of which a task was preempted in more than one run.
	 * @return the number of steps
	 */
	int stepsPreemptedAgain() {
		return (int) this.preemptedRuns.values()
			.stream()
			.filter((tasks) -> tasks.values().stream().anyMatch((runs) -> runs.size() > 1))
			.count();
	}

	int stepsPreempted() {
		return this.preemptedRuns.size();
	}

	private record Step(JobId job, int number) {

	}

}
