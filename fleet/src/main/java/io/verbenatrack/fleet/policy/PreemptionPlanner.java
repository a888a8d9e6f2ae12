package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.TaskId;

/**
 * Chooses the running tasks to preempt so that a step can start: tasks of lower priority,
 * and for a rack-sensitive gang those on the rack where the least work is lost.
 */
final class PreemptionPlanner {

	private final Collection<CandidateWorker> candidates;

	/**
	 * Creates a planner.
	 * @param candidates the workers that are eligible for the step
	 */
	PreemptionPlanner(Collection<CandidateWorker> candidates) {
		this.candidates = candidates;
	}

	/**
	 * Plans the preemption of tasks so that a step can start.
	 * @param step the step
	 * @return the plan, or empty when preemption cannot free enough resources
	 */
	Optional<Plan> plan(PendingStep step) {
		List<CandidateWorker> suitable = this.candidates.stream().filter((candidate) -> !candidate.reserved()).toList();
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
		candidates.forEach((candidate) -> options.addAll(options(candidate, step)));
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

	// Lists what a worker can provide without preemption, and after the preemption of an
	// increasing number of its cheapest tasks.
	private static List<Option> options(CandidateWorker candidate, PendingStep step) {
		List<Option> options = new ArrayList<>();
		Resources available = candidate.free();
		double loss = 0;
		List<TaskId> stops = new ArrayList<>();
		int fittingTasks = fittingTasks(step, candidate, available);
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
			int more = fittingTasks(step, candidate, available);
			if (more > fittingTasks) {
				fittingTasks = more;
				options.add(new Option(candidate, fittingTasks, loss, List.copyOf(stops)));
			}
		}
		return options;
	}

	private static int fittingTasks(PendingStep step, CandidateWorker candidate, Resources available) {
		return Math.min(step.spec().maxTasksIn(available), Eligibility.placesLeft(step, candidate));
	}

	private record Option(CandidateWorker candidate, int fittingTasks, double loss, List<TaskId> stops) {

		double lossPerTask() {
			return this.loss / this.fittingTasks;
		}

	}

	/**
	 * The tasks to preempt.
	 *
	 * @param stops the tasks to stop
	 * @param candidates the workers on which resources are reserved for the step
	 * @param loss the work that is discarded, in milliseconds weighted by resources
	 */
	record Plan(List<TaskId> stops, List<CandidateWorker> candidates, double loss) {

	}

}
