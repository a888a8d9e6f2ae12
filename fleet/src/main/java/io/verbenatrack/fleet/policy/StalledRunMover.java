package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.fleet.state.StepState;
import io.verbenatrack.fleet.state.TaskState;

/**
 * Stops runs that stand still, so that they start again on other workers, and keeps new
 * work away from the workers that held them up.
 *
 * <p>
 * The members of a gang wait for each other: when all of them stand still, nothing tells
 * which worker is to blame, so the gang avoids all of them for a while and none is
 * suspected.
 */
final class StalledRunMover {

	/** Longer than most workers stay bad. */
	private static final long AVOID_NANOS = Duration.ofSeconds(8).toNanos();

	/**
	 * When more of the workers hold work up, the cause lies elsewhere, and moving helps
	 * nobody.
	 */
	private static final double MAX_SUSPECT_SHARE = 0.25;

	/** A task that stands still on so many workers in turn is itself the cause. */
	private static final int MAX_MOVES = 2;

	private final FleetState state;

	private final WorkerRegistry registry;

	private final StallDetector stallDetector = new StallDetector();

	/** The runs that are to stop, by their number. */
	private final Map<TaskId, Integer> moving = new HashMap<>();

	/** How often a task, or a gang by its first member, was moved. */
	private final Map<TaskId, Integer> moveCounts = new HashMap<>();

	private final Map<TaskId, Map<WorkerIncarnation, Long>> avoidedUntil = new HashMap<>();

	StalledRunMover(FleetState state, WorkerRegistry registry) {
		this.state = state;
		this.registry = registry;
	}

	/**
	 * Looks at what a worker reports.
	 * @param worker the worker
	 * @param nowNanos when it reported
	 * @return what was decided
	 */
	List<FleetEvent> inspect(TrackedWorker worker, long nowNanos) {
		List<FleetEvent> events = new ArrayList<>();
		Map<TaskId, Integer> known = this.state.runsOn(worker.incarnation());
		for (ReportedRun run : worker.report().running()) {
			Optional<StepState> step = this.state.step(run.task()).filter((found) -> !found.spec().lasting());
			if (step.isEmpty() || !Integer.valueOf(run.run()).equals(known.get(run.task())) || isMoving(run.task())) {
				continue;
			}
			boolean local = isLocal(run.task(), step.get());
			TaskId moveUnit = moveUnit(run.task(), step.get().spec().gang());
			if (this.stallDetector.shouldMove(run, step.get().spec(), local, nowNanos) && suspectsWithinLimit(nowNanos)
					&& this.moveCounts.merge(moveUnit, 1, Integer::sum) <= MAX_MOVES) {
				move(run, step.get(), worker, nowNanos);
				events.add(new FleetEvent.RunMoved(run.task(), run.run(), worker.incarnation(), run.percent()));
			}
		}
		return events;
	}

	private boolean suspectsWithinLimit(long nowNanos) {
		long suspects = this.registry.workers().stream().filter((worker) -> worker.suspected(nowNanos)).count();
		return suspects <= MAX_SUSPECT_SHARE * this.registry.workers().size();
	}

	private void move(ReportedRun run, StepState step, TrackedWorker worker, long nowNanos) {
		boolean gang = step.spec().gang();
		Set<WorkerIncarnation> incarnations = new HashSet<>();
		int members = gang ? step.tasks().size() : 1;
		for (int member = 0; member < members; member++) {
			TaskId task = gang ? run.task().member(member) : run.task();
			TaskState current = step.tasks().get(task.index());
			current.runningOn().ifPresent(incarnations::add);
			this.moving.put(task, current.run());
		}
		if (incarnations.size() <= 1) {
			worker.suspect(nowNanos);
		}
		Map<WorkerIncarnation, Long> avoided = this.avoidedUntil.computeIfAbsent(moveUnit(run.task(), gang),
				(task) -> new HashMap<>());
		incarnations.forEach((incarnation) -> avoided.put(incarnation, nowNanos + AVOID_NANOS));
	}

	// A gang avoids workers as a whole.
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
	 * Whether the present run of a task is to stop.
	 * @param task the task
	 * @return whether it moves
	 */
	boolean isMoving(TaskId task) {
		Integer run = this.moving.get(task);
		return run != null && this.state.isRunning(task, run);
	}

	/**
	 * Whether a task had better not start on a worker.
	 * @param task the task
	 * @param gang whether it is a member of a gang
	 * @param incarnation the worker
	 * @param nowNanos the time
	 * @return whether a run of it was held up there a short while ago
	 */
	boolean avoids(TaskId task, boolean gang, WorkerIncarnation incarnation, long nowNanos) {
		Long until = this.avoidedUntil.getOrDefault(moveUnit(task, gang), Map.of()).get(incarnation);
		return until != null && nowNanos - until < 0;
	}

	/**
	 * Whether a task avoids any worker.
	 * @param task the task
	 * @param gang whether it is a member of a gang
	 * @return whether some worker held it up a short while ago
	 */
	boolean avoidsAny(TaskId task, boolean gang) {
		return this.avoidedUntil.containsKey(moveUnit(task, gang));
	}

	/**
	 * Forgets what concerns no run any more.
	 * @param nowNanos the time
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
	}

}
