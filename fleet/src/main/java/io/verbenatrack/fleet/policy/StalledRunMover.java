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
	private static final double MOST_SUSPECTS = 0.25;

	/** A task that stands still on so many workers in turn is itself the cause. */
	private static final int MOST_MOVES = 2;

	private final FleetState state;

	private final WorkerRegistry board;

	private final StallDetector watch = new StallDetector();

	/** The runs that are to stop, by their number. */
	private final Map<TaskId, Integer> moving = new HashMap<>();

	/** How often a task, or a gang by its first member, was moved. */
	private final Map<TaskId, Integer> moveCounts = new HashMap<>();

	private final Map<TaskId, Map<WorkerIncarnation, Long>> avoidedUntil = new HashMap<>();

	StalledRunMover(FleetState state, WorkerRegistry board) {
		this.state = state;
		this.board = board;
	}

	/**
	 * Looks at what a worker reports.
	 * @param worker the worker
	 * @param nowNanos when it reported
	 * @return what was decided
	 */
	List<FleetEvent> heard(TrackedWorker worker, long nowNanos) {
		List<FleetEvent> notes = new ArrayList<>();
		Map<TaskId, Integer> known = this.state.runsOn(worker.life());
		for (ReportedRun run : worker.report().running()) {
			Optional<StepState> step = this.state.step(run.task()).filter((found) -> !found.spec().lasting());
			if (step.isEmpty() || !Integer.valueOf(run.run()).equals(known.get(run.task())) || moves(run.task())) {
				continue;
			}
			boolean near = near(run.task(), step.get());
			TaskId owner = owner(run.task(), step.get().spec().gang());
			if (this.watch.heldUp(run, step.get().spec(), near, nowNanos) && trustworthy(nowNanos)
					&& this.moveCounts.merge(owner, 1, Integer::sum) <= MOST_MOVES) {
				move(run, step.get(), worker, nowNanos);
				notes.add(new FleetEvent.RunMoved(run.task(), run.run(), worker.life(), run.percent()));
			}
		}
		return notes;
	}

	private boolean trustworthy(long nowNanos) {
		long suspects = this.board.workers().stream().filter((worker) -> worker.suspected(nowNanos)).count();
		return suspects <= MOST_SUSPECTS * this.board.workers().size();
	}

	private void move(ReportedRun run, StepState step, TrackedWorker worker, long nowNanos) {
		boolean gang = step.spec().gang();
		Set<WorkerIncarnation> lives = new HashSet<>();
		int members = gang ? step.tasks().size() : 1;
		for (int member = 0; member < members; member++) {
			TaskId task = gang ? run.task().member(member) : run.task();
			TaskState present = step.tasks().get(task.index());
			present.runningOn().ifPresent(lives::add);
			this.moving.put(task, present.run());
		}
		if (lives.size() <= 1) {
			worker.suspect(nowNanos);
		}
		Map<WorkerIncarnation, Long> avoided = this.avoidedUntil.computeIfAbsent(owner(run.task(), gang),
				(task) -> new HashMap<>());
		lives.forEach((life) -> avoided.put(life, nowNanos + AVOID_NANOS));
	}

	// A gang avoids workers as a whole.
	private static TaskId owner(TaskId task, boolean gang) {
		return gang ? task.member(0) : task;
	}

	private boolean near(TaskId task, StepState step) {
		Set<String> racks = new HashSet<>();
		boolean together = step.spec().gang() && step.spec().rackSensitive();
		for (int member = 0; member < step.tasks().size(); member++) {
			if (together || member == task.index()) {
				step.tasks()
					.get(member)
					.runningOn()
					.flatMap(this.board::worker)
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
	boolean moves(TaskId task) {
		Integer run = this.moving.get(task);
		return run != null && this.state.underWay(task, run);
	}

	/**
	 * Whether a task had better not start on a worker.
	 * @param task the task
	 * @param gang whether it is a member of a gang
	 * @param life the worker
	 * @param nowNanos the time
	 * @return whether a run of it was held up there a short while ago
	 */
	boolean avoids(TaskId task, boolean gang, WorkerIncarnation life, long nowNanos) {
		Long until = this.avoidedUntil.getOrDefault(owner(task, gang), Map.of()).get(life);
		return until != null && nowNanos - until < 0;
	}

	/**
	 * Whether a task avoids any worker.
	 * @param task the task
	 * @param gang whether it is a member of a gang
	 * @return whether some worker held it up a short while ago
	 */
	boolean avoidsAny(TaskId task, boolean gang) {
		return this.avoidedUntil.containsKey(owner(task, gang));
	}

	/**
	 * Forgets what concerns no run any more.
	 * @param nowNanos the time
	 */
	void tidy(long nowNanos) {
		this.moving.keySet().removeIf((task) -> !moves(task));
		this.moveCounts.keySet().removeIf((task) -> this.state.step(task).filter((step) -> !step.done()).isEmpty());
		this.avoidedUntil.values().removeIf((lives) -> {
			lives.values().removeIf((until) -> nowNanos - until >= 0);
			return lives.isEmpty();
		});
		Set<TaskId> running = new HashSet<>();
		this.state.livesInUse().forEach((life) -> running.addAll(this.state.runsOn(life).keySet()));
		this.watch.retain(running);
	}

}
