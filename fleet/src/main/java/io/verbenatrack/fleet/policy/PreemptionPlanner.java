package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;

/**
 * Chooses what stops so that a guaranteed step can start: work of lower priority, on the
 * rack where the least is lost.
 */
final class PreemptionPlanner {

	private final Collection<CandidateWorker> candidates;

	PreemptionPlanner(Collection<CandidateWorker> candidates) {
		this.candidates = candidates;
	}

	/**
	 * Clears room for the waiting tasks of a step.
	 * @param step the step
	 * @return what stops and where; empty when even that makes too little room
	 */
	Optional<Plan> plan(PendingStep step) {
		List<CandidateWorker> suitable = this.candidates.stream()
			.filter((candidate) -> candidate.matches(step.spec()) && !candidate.reserved())
			.toList();
		if (step.spec().gang() && step.spec().rackSensitive()) {
			Optional<Plan> best = CandidateWorker.byRack(suitable)
				.stream()
				.map((rack) -> planOn(step, rack))
				.flatMap(Optional::stream)
				.min(Comparator.comparingDouble(Plan::loss));
			if (best.isPresent()) {
				return best;
			}
		}
		return planOn(step, suitable);
	}

	private static Optional<Plan> planOn(PendingStep step, List<CandidateWorker> candidates) {
		List<Option> options = new ArrayList<>();
		candidates.forEach((candidate) -> options.addAll(options(candidate, step.spec())));
		options.sort(Comparator.comparingDouble(Option::lossPerTask));
		int tasksLeft = step.waiting().size();
		double loss = 0;
		List<TaskId> stops = new ArrayList<>();
		List<CandidateWorker> used = new ArrayList<>();
		for (Option option : options) {
			if (tasksLeft > 0 && !used.contains(option.candidate())) {
				used.add(option.candidate());
				stops.addAll(option.stops());
				loss += option.loss();
				tasksLeft -= option.fittingTasks();
			}
		}
		return (tasksLeft <= 0) ? Optional.of(new Plan(stops, used, loss)) : Optional.empty();
	}

	// What a worker offers without a stop, and after stopping more and more of its
	// cheapest occupants.
	private static List<Option> options(CandidateWorker candidate, StepSpec step) {
		List<Option> options = new ArrayList<>();
		Resources available = candidate.free();
		double loss = 0;
		List<TaskId> stops = new ArrayList<>();
		int fittingTasks = step.maxTasksIn(available);
		if (fittingTasks > 0) {
			options.add(new Option(candidate, fittingTasks, 0, List.of()));
		}
		List<CandidateWorker.RunningTask> cheapest = candidate.runningTasks()
			.stream()
			.filter((running) -> running.priority() > 0)
			.sorted(Comparator.comparingDouble(CandidateWorker.RunningTask::lostWorkMillis))
			.toList();
		for (CandidateWorker.RunningTask running : cheapest) {
			available = available.plus(running.room());
			loss += running.lostWorkMillis();
			stops.add(running.task());
			int more = step.maxTasksIn(available);
			if (more > fittingTasks) {
				fittingTasks = more;
				options.add(new Option(candidate, fittingTasks, loss, List.copyOf(stops)));
			}
		}
		return options;
	}

	private record Option(CandidateWorker candidate, int fittingTasks, double loss, List<TaskId> stops) {

		double lossPerTask() {
			return this.loss / this.fittingTasks;
		}

	}

	/**
	 * Who makes room.
	 *
	 * @param stops the tasks that stop
	 * @param candidates the workers that the room is kept on
	 * @param loss the work thrown away, in weighted milliseconds
	 */
	record Plan(List<TaskId> stops, List<CandidateWorker> candidates, double loss) {

	}

}
