package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.TaskId;

/**
 * Chooses the runs to preempt so that a step can start: runs of lower priority that cost
 * least, and for a rack-sensitive gang those on the rack where they cost least. A gang is
 * preempted as a whole, so its cost counts once and the room of all its members is used.
 */
final class PreemptionPlanner {

	private final Collection<CandidateWorker> candidates;

	private final Map<TaskId, PreemptionVictim> victims;

	private final Predicate<PreemptionVictim> allowed;

	/**
	 * Creates a planner.
	 * @param candidates the workers that are eligible for the step
	 * @param victims what runs on all workers, by task or first member of a gang
	 * @param allowed whether a run or gang may be preempted for the step
	 */
	PreemptionPlanner(Collection<CandidateWorker> candidates, Map<TaskId, PreemptionVictim> victims,
			Predicate<PreemptionVictim> allowed) {
		this.candidates = candidates;
		this.victims = victims;
		this.allowed = allowed;
	}

	/**
	 * Plans the preemption of runs so that a step can start.
	 * @param step the step
	 * @return the plan, or empty when preemption cannot free enough resources
	 */
	Optional<Plan> plan(PendingStep step) {
		if (step.spec().gang() && step.spec().rackSensitive()) {
			Optional<Plan> best = CandidateWorker.byRack(this.candidates)
				.stream()
				.map((rack) -> new Draft(step, rack).complete())
				.flatMap(Optional::stream)
				.min(Comparator.comparingDouble(Plan::cost));
			if (best.isPresent()) {
				return best;
			}
		}
		return new Draft(step, this.candidates).complete();
	}

	/**
	 * A plan on some of the workers, which grows until all tasks fit.
	 */
	private final class Draft {

		private final PendingStep step;

		private final Map<CandidateWorker, Resources> available = new LinkedHashMap<>();

		private final Map<CandidateWorker, Integer> fitting = new HashMap<>();

		private final Map<CandidateWorker, List<Option>> options = new HashMap<>();

		private final Set<PreemptionVictim> chosen = new LinkedHashSet<>();

		private int missing;

		Draft(PendingStep step, Collection<CandidateWorker> workers) {
			this.step = step;
			this.missing = step.waiting().size();
			for (CandidateWorker worker : workers) {
				this.available.put(worker, worker.free().minus(worker.pledged()));
				fit(worker);
			}
		}

		Optional<Plan> complete() {
			if (!feasible()) {
				return Optional.empty();
			}
			while (this.missing > 0) {
				Optional<Option> best = this.available.keySet()
					.stream()
					.flatMap((worker) -> this.options.computeIfAbsent(worker, this::options).stream())
					.min(Comparator.comparingDouble((option) -> option.cost() / Math.min(option.more(), this.missing)));
				if (best.isEmpty()) {
					return Optional.empty();
				}
				best.get().added().forEach(this::choose);
			}
			removeUnneeded();
			return Optional.of(new Plan(List.copyOf(this.chosen), places(),
					this.chosen.stream().mapToDouble(PreemptionVictim::lostWorkMillis).sum(),
					this.chosen.stream().mapToDouble(PreemptionVictim::cost).sum()));
		}

		// Without this check each pass would search in vain for each step that cannot get
		// room.
		private boolean feasible() {
			long tasks = 0;
			for (CandidateWorker worker : this.available.keySet()) {
				Resources room = this.available.get(worker);
				for (PreemptionVictim victim : victims(worker)) {
					room = room.plus(victim.roomOn(worker));
				}
				tasks += fitting(worker, room);
			}
			return tasks >= this.step.waiting().size();
		}

		private void fit(CandidateWorker worker) {
			int tasks = fitting(worker, this.available.get(worker));
			Integer before = this.fitting.put(worker, tasks);
			this.missing -= tasks - ((before != null) ? before : 0);
		}

		private int fitting(CandidateWorker worker, Resources room) {
			int places = Math.min(this.step.waiting().size(), Eligibility.placesLeft(this.step, worker));
			return Math.min(this.step.spec().maxTasksIn(room), places);
		}

		// Lists what a worker can provide after the preemption of an increasing number of
		// its cheapest runs.
		private List<Option> options(CandidateWorker worker) {
			List<Option> found = new ArrayList<>();
			List<PreemptionVictim> added = new ArrayList<>();
			Resources room = this.available.get(worker);
			int before = this.fitting.get(worker);
			for (PreemptionVictim victim : victims(worker)) {
				added.add(victim);
				room = room.plus(victim.roomOn(worker));
				int now = fitting(worker, room);
				if (now > before) {
					List<PreemptionVictim> needed = needed(worker, added, now);
					found.add(new Option(needed, needed.stream().mapToDouble(PreemptionVictim::cost).sum(),
							now - this.fitting.get(worker)));
					before = now;
				}
			}
			return found;
		}

		private List<PreemptionVictim> victims(CandidateWorker worker) {
			return worker.runningTasks()
				.stream()
				.map((running) -> PreemptionPlanner.this.victims.get(running.unit()))
				.filter((victim) -> victim.preemptible() && !this.chosen.contains(victim))
				.filter(PreemptionPlanner.this.allowed)
				.distinct()
				.sorted(Comparator.comparingDouble(PreemptionVictim::cost))
				.toList();
		}

		// Without the dearest runs, the cheaper ones may still free enough.
		private List<PreemptionVictim> needed(CandidateWorker worker, List<PreemptionVictim> added, int tasks) {
			List<PreemptionVictim> needed = new ArrayList<>(added);
			Resources room = this.available.get(worker);
			for (PreemptionVictim victim : added) {
				room = room.plus(victim.roomOn(worker));
			}
			for (PreemptionVictim victim : added.reversed()) {
				Resources without = room.minus(victim.roomOn(worker));
				if (fitting(worker, without) >= tasks) {
					room = without;
					needed.remove(victim);
				}
			}
			return needed;
		}

		private void choose(PreemptionVictim victim) {
			if (this.chosen.add(victim)) {
				update(victim, 1);
			}
		}

		private void update(PreemptionVictim victim, int sign) {
			victim.rooms().forEach((worker, room) -> {
				Resources before = this.available.get(worker);
				if (before != null) {
					this.available.put(worker, (sign > 0) ? before.plus(room) : before.minus(room));
					fit(worker);
				}
			});
			this.options.keySet().removeAll(victim.rooms().keySet());
		}

		private void removeUnneeded() {
			this.chosen.stream()
				.sorted(Comparator.comparingDouble(PreemptionVictim::cost).reversed())
				.toList()
				.forEach((victim) -> {
					update(victim, -1);
					if (this.missing > 0) {
						update(victim, 1);
					}
					else {
						this.chosen.remove(victim);
					}
				});
		}

		// Prefers workers whose runs are stopped, as the plan needs them.
		private Map<CandidateWorker, Integer> places() {
			Map<CandidateWorker, Integer> places = new LinkedHashMap<>();
			int left = this.step.waiting().size();
			List<CandidateWorker> order = this.available.keySet()
				.stream()
				.sorted(Comparator.comparing(
						(worker) -> this.chosen.stream().noneMatch((victim) -> victim.rooms().containsKey(worker))))
				.toList();
			for (CandidateWorker worker : order) {
				int tasks = Math.min(left, this.fitting.get(worker));
				if (tasks > 0) {
					places.put(worker, tasks);
					left -= tasks;
				}
			}
			return places;
		}

	}

	private record Option(List<PreemptionVictim> added, double cost, int more) {

	}

	/**
	 * A plan.
	 *
	 * @param victims the runs and gangs to stop
	 * @param places the number of tasks that are to start, by worker
	 * @param lostWorkMillis the work that is discarded, in milliseconds weighted by
	 * resources
	 * @param cost the cost by which plans are compared
	 */
	record Plan(List<PreemptionVictim> victims, Map<CandidateWorker, Integer> places, double lostWorkMillis,
			double cost) {

	}

}
