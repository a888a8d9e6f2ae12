package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.verbenatrack.fleet.forecast.RunForecast;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.fleet.state.JobState;
import io.verbenatrack.fleet.state.StepState;
import io.verbenatrack.fleet.state.TaskState;

/**
 * Stops stalled runs, and runs that end sooner on other workers as their own became slow,
 * so that their tasks restart on other workers. For a while a task avoids the workers on
 * which it stalled; when this is a single worker, the worker is also suspected and gets
 * no new tasks.
 *
 * <p>
 * The members of a gang wait for each other, so a stall of one stalls all of them and
 * does not tell which worker is at fault. A gang on several workers therefore avoids all
 * of them, and none of them is suspected. When a worker became slow, it alone is avoided
 * and suspected.
 */
final class StalledRunMover {

	/** Longer than most workers stay faulty. */
	private static final long AVOID_NANOS = Duration.ofSeconds(8).toNanos();

	/**
	 * When a larger share of the workers is suspected, the cause lies elsewhere and
	 * moving runs does not help.
	 */
	private static final double MAX_SUSPECT_SHARE = 0.25;

	/** A task that stalls even after this many moves is itself the cause. */
	private static final int MAX_MOVES = 2;

	private final FleetState state;

	private final WorkerRegistry registry;

	private final RunForecast forecast;

	private final StallDetector stallDetector = new StallDetector();

	private final SlowedWorkers slowedWorkers;

	/** The numbers of the runs that are to stop. */
	private final Map<TaskId, Integer> moving = new HashMap<>();

	/** The number of moves by task, or by the first member of a gang. */
	private final Map<TaskId, Integer> moveCounts = new HashMap<>();

	private final Map<TaskId, Map<WorkerIncarnation, Long>> avoidedUntil = new HashMap<>();

	StalledRunMover(FleetState state, WorkerRegistry registry, RunForecast forecast) {
		this.state = state;
		this.registry = registry;
		this.forecast = forecast;
		this.slowedWorkers = new SlowedWorkers(state, registry, forecast);
	}

	/**
	 * Checks the runs in the latest report of a worker, and moves those that stalled or
	 * whose worker became slow.
	 * @param worker the worker
	 * @param nowNanos the time of the report in nanoseconds of the monotonic clock
	 * @return an event for each run that is moved
	 */
	List<FleetEvent> inspect(TrackedWorker worker, long nowNanos) {
		List<FleetEvent> events = new ArrayList<>();
		Map<TaskId, Integer> known = this.state.runsOn(worker.incarnation());
		for (ReportedRun run : worker.report().running()) {
			Optional<StepState> step = this.state.step(run.task()).filter((found) -> !found.spec().lasting());
			if (step.isEmpty() || !Integer.valueOf(run.run()).equals(known.get(run.task())) || isMoving(run.task())
					|| !canStartAgain(run.task())) {
				continue;
			}
			boolean local = isLocal(run.task(), step.get());
			TaskId moveUnit = moveUnit(run.task(), step.get().spec().gang());
			Optional<MoveCause> cause = moveCause(run, step.get(), worker, local, nowNanos);
			if (cause.isPresent() && suspectsWithinLimit(nowNanos)
					&& this.moveCounts.merge(moveUnit, 1, Integer::sum) <= MAX_MOVES) {
				move(run, step.get(), worker, cause.get(), nowNanos);
				events.add(new FleetEvent.RunMoved(run.task(), run.run(), worker.incarnation(), run.percent(),
						cause.get()));
			}
		}
		return events;
	}

	// Without its queue, a task that stops starts nowhere.
	private boolean canStartAgain(TaskId task) {
		return this.state.job(task.job()).flatMap(this.state::queueOf).isPresent();
	}

	private Optional<MoveCause> moveCause(ReportedRun run, StepState step, TrackedWorker worker, boolean local,
			long nowNanos) {
		JobState job = this.state.job(run.task().job()).orElseThrow();
		RunProgress progress = RunProgress.of(this.forecast, job, step, run.task(), worker);
		if (this.stallDetector.shouldMove(run, step.spec(), progress::wholeRunMillis, local, nowNanos)) {
			return Optional.of(MoveCause.STALLED);
		}
		return this.slowedWorkers.shouldLeave(run, step, progress, worker, StallDetector.MOVE_OVERHEAD_MILLIS)
				? Optional.of(MoveCause.WORKER_SLOWED) : Optional.empty();
	}

	private boolean suspectsWithinLimit(long nowNanos) {
		long suspects = this.registry.workers().stream().filter((worker) -> worker.suspected(nowNanos)).count();
		return suspects <= MAX_SUSPECT_SHARE * this.registry.workers().size();
	}

	private void move(ReportedRun run, StepState step, TrackedWorker worker, MoveCause cause, long nowNanos) {
		boolean gang = step.spec().gang();
		Set<WorkerIncarnation> incarnations = new HashSet<>();
		int members = gang ? step.tasks().size() : 1;
		for (int member = 0; member < members; member++) {
			TaskId task = gang ? run.task().member(member) : run.task();
			TaskState current = step.tasks().get(task.index());
			current.runningOn().ifPresent(incarnations::add);
			this.moving.put(task, current.run());
		}
		if (cause == MoveCause.WORKER_SLOWED) {
			incarnations.retainAll(Set.of(worker.incarnation()));
		}
		if (incarnations.size() <= 1) {
			worker.suspect(nowNanos);
		}
		Map<WorkerIncarnation, Long> avoided = this.avoidedUntil.computeIfAbsent(moveUnit(run.task(), gang),
				(task) -> new HashMap<>());
		incarnations.forEach((incarnation) -> avoided.put(incarnation, nowNanos + AVOID_NANOS));
	}

	// A gang is moved and avoids workers as a whole, keyed by its first member.
	private static TaskId moveUnit(TaskId task, boolean gang) {
		return gang ? task.member(0) : task;
	}

	private boolean isLocal(TaskId task, StepState step) {
		Set<String> racks = new HashSet<>();
		boolean sameRack = step.spec().gang() && step.spec().rackSensitive();
		for (int member = 0; member < step.tasks().size(); member++) {
			if (sameRack || member == task.index()) {
				step.tasks()
					.get(member)
					.runningOn()
					.flatMap(this.registry::worker)
					.ifPresent((worker) -> racks.add(worker.report().rack()));
			}
		}
		return racks.size() == 1 && step.spec().dataRack().filter((rack) -> !racks.contains(rack)).isEmpty();
	}

	/**
	 * Returns whether the current run of a task is being moved.
	 * @param task the task
	 * @return whether the run is to stop
	 */
	boolean isMoving(TaskId task) {
		Integer run = this.moving.get(task);
		return run != null && this.state.isRunning(task, run);
	}

	/**
	 * Returns whether a task avoids a worker.
	 * @param task the task
	 * @param gang whether the task is a member of a gang
	 * @param incarnation the incarnation of the worker
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 * @return whether a run of the task, or of its gang, stalled there recently
	 */
	boolean avoids(TaskId task, boolean gang, WorkerIncarnation incarnation, long nowNanos) {
		Long until = this.avoidedUntil.getOrDefault(moveUnit(task, gang), Map.of()).get(incarnation);
		return until != null && nowNanos - until < 0;
	}

	/**
	 * Returns whether a task avoids any worker.
	 * @param task the task
	 * @param gang whether the task is a member of a gang
	 * @return whether a run of the task, or of its gang, stalled recently
	 */
	boolean avoidsAny(TaskId task, boolean gang) {
		return this.avoidedUntil.containsKey(moveUnit(task, gang));
	}

	/**
	 * Removes entries that no longer concern any run, and expired avoidance.
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 */
	void removeStale(long nowNanos) {
		this.moving.keySet().removeIf((task) -> !isMoving(task));
		this.moveCounts.keySet().removeIf((task) -> this.state.step(task).filter((step) -> !step.done()).isEmpty());
		this.avoidedUntil.values().removeIf((incarnations) -> {
			incarnations.values().removeIf((until) -> nowNanos - until >= 0);
			return incarnations.isEmpty();
		});
		Set<TaskId> running = new HashSet<>();
		this.state.incarnationsInUse()
			.forEach((incarnation) -> running.addAll(this.state.runsOn(incarnation).keySet()));
		this.stallDetector.retain(running);
		this.slowedWorkers.update(running);
	}

}
