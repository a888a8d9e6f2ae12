package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.fleet.state.StepState;

/**
 * What the leader remembers about preemption from one scheduling pass to the next: the
 * plans whose stops are under way, and how often each step was preempted.
 *
 * <p>
 * A plan is kept until its step starts. Without this memory each pass would plan anew and
 * stop more runs than the step needs, as the stops arrive one by one.
 */
final class PreemptionLedger {

	private final Map<TaskId, Commitment> commitments = new LinkedHashMap<>();

	private final Map<TaskId, Victim> victims = new HashMap<>();

	private final LossBudget lossBudget = new LossBudget();

	/**
	 * Returns the first task of the step of a task, which identifies the step.
	 * @param task the task
	 * @return the first task
	 */
	static TaskId step(TaskId task) {
		return task.member(0);
	}

	/**
	 * Returns the plans whose steps have not started yet.
	 * @return the plans in the order in which they were made
	 */
	Collection<Commitment> commitments() {
		return List.copyOf(this.commitments.values());
	}

	/**
	 * Returns the plan for a step.
	 * @param step the first task of the step
	 * @return the plan, or empty if there is none
	 */
	Optional<Commitment> commitment(TaskId step) {
		return Optional.ofNullable(this.commitments.get(step));
	}

	/**
	 * Adds or replaces the plan for a step.
	 * @param commitment the plan
	 */
	void commit(Commitment commitment) {
		this.commitments.put(commitment.step(), commitment);
	}

	/**
	 * Removes the plan for a step that has started, no longer waits, or needs another
	 * plan. Stops that no response has carried are withdrawn with it.
	 * @param step the first task of the step
	 */
	void remove(TaskId step) {
		this.commitments.remove(step);
	}

	/**
	 * Counts a preemption of a step.
	 * @param step the first task of the step
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 */
	void recordPreemption(TaskId step, long nowNanos) {
		this.victims.merge(step, new Victim(1, nowNanos),
				(before, added) -> new Victim(before.times() + 1, added.lastNanos()));
	}

	/**
	 * Returns how often a step was preempted in this term.
	 * @param step the first task of the step
	 * @return the number of preemptions
	 */
	int preemptions(TaskId step) {
		Victim victim = this.victims.get(step);
		return (victim != null) ? victim.times() : 0;
	}

	/**
	 * Returns the time since the last preemption of a step.
	 * @param step the first task of the step
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 * @return the time in nanoseconds, {@link Long#MAX_VALUE} if it was not preempted
	 */
	long sincePreemptionNanos(TaskId step, long nowNanos) {
		Victim victim = this.victims.get(step);
		return (victim != null) ? nowNanos - victim.lastNanos() : Long.MAX_VALUE;
	}

	/**
	 * Returns the limit on the work that is discarded for steps without a guarantee.
	 * @return the limit
	 */
	LossBudget lossBudget() {
		return this.lossBudget;
	}

	/**
	 * Forgets the steps that are done or whose job has ended.
	 * @param state the replicated state
	 */
	void removeStale(FleetState state) {
		this.victims.keySet().removeIf((step) -> !unfinished(state, step));
		this.commitments.keySet().removeIf((step) -> !unfinished(state, step));
	}

	private static boolean unfinished(FleetState state, TaskId step) {
		return state.job(step.job()).filter((job) -> !job.phase().ended()).isPresent()
				&& state.step(step).filter((known) -> !known.done()).isPresent();
	}

	/**
	 * A plan for the start of a step.
	 *
	 * @param step the first task of the step
	 * @param guaranteed whether the step is within the guarantee of its client account
	 * @param places the number of tasks for which room is claimed, by worker
	 * @param stops the numbers of the runs to stop, by task; gangs as a whole
	 */
	record Commitment(TaskId step, boolean guaranteed, Map<WorkerIncarnation, Integer> places,
			Map<TaskId, Integer> stops) {

		Commitment {
			places = Map.copyOf(places);
			stops = Map.copyOf(stops);
		}

		Commitment withGuaranteed(boolean nowGuaranteed) {
			return new Commitment(this.step, nowGuaranteed, this.places, this.stops);
		}

		List<TaskId> running(FleetState state) {
			List<TaskId> running = new ArrayList<>();
			this.stops.forEach((task, run) -> {
				if (state.isRunning(task, run)) {
					running.add(task);
				}
			});
			return running;
		}

		/**
		 * Returns whether the step waits with all tasks for which room is claimed.
		 * @param state the replicated state
		 * @return whether the plan may still be of use
		 */
		boolean awaited(FleetState state) {
			int claimed = this.places.values().stream().mapToInt(Integer::intValue).sum();
			return state.step(this.step)
				.map(StepState::tasks)
				.filter((tasks) -> tasks.stream().filter((task) -> task.waiting()).count() >= claimed)
				.isPresent();
		}

	}

	/**
	 * The preemptions of a step.
	 *
	 * @param times their number
	 * @param lastNanos the time of the last one in nanoseconds of the monotonic clock
	 */
	private record Victim(int times, long lastNanos) {

	}

}
