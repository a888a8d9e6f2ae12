package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;

/**
 * A worker during a placement pass. Its free resources decrease as tasks are placed on
 * it.
 */
final class CandidateWorker {

	/** A report that lists more runs than this would be refused for its size. */
	private static final int MAX_RUNS = 8000;

	/** A stuck worker makes no progress, but run times must remain finite. */
	private static final double MIN_SPEED = 0.01;

	private final TrackedWorker worker;

	private final List<RunningTask> runningTasks = new ArrayList<>();

	private Resources free;

	private int runs;

	private Resources pledged = Resources.NONE;

	private final double speed;

	private int tier;

	/**
	 * Creates a candidate.
	 * @param worker the worker
	 * @param speed its speed relative to the nominal speed
	 */
	CandidateWorker(TrackedWorker worker, double speed) {
		this.worker = worker;
		this.speed = Math.max(MIN_SPEED, speed);
		this.free = worker.report().room();
	}

	TrackedWorker worker() {
		return this.worker;
	}

	String rack() {
		return this.worker.report().rack();
	}

	double speed() {
		return this.speed;
	}

	void assignTier(int assigned) {
		this.tier = assigned;
	}

	/**
	 * Returns the tier of the speed of the worker.
	 * @return the tier, 0 for the fastest
	 */
	int tier() {
		return this.tier;
	}

	Resources free() {
		return this.free;
	}

	List<RunningTask> runningTasks() {
		return this.runningTasks;
	}

	void addRunning(RunningTask running) {
		this.runningTasks.add(running);
		this.runs++;
		this.free = this.free.minus(running.room());
	}

	void allocate(Resources room) {
		this.runs++;
		this.free = this.free.minus(room);
	}

	boolean fits(StepSpec step) {
		return this.runs < MAX_RUNS && step.room().fitsIn(this.free);
	}

	int maxTasks(StepSpec step) {
		return Math.min(step.maxTasksIn(this.free), Math.max(0, MAX_RUNS - this.runs));
	}

	boolean idle() {
		return this.free.equals(this.worker.report().room());
	}

	/**
	 * Claims resources for a step for which runs are stopped.
	 * @param freePart the part of the free resources
	 * @param stoppingPart the part of the resources of runs that are to stop
	 */
	void claim(Resources freePart, Resources stoppingPart) {
		this.free = this.free.minus(freePart);
		this.pledged = this.pledged.plus(stoppingPart);
	}

	void unclaim(Resources freePart, Resources stoppingPart) {
		this.free = this.free.plus(freePart);
		this.pledged = this.pledged.minus(stoppingPart);
	}

	/**
	 * Returns the claimed resources of runs that are to stop.
	 * @return the resources
	 */
	Resources pledged() {
		return this.pledged;
	}

	static Collection<List<CandidateWorker>> byRack(Collection<CandidateWorker> candidates) {
		Map<String, List<CandidateWorker>> racks = new TreeMap<>();
		candidates.forEach(
				(candidate) -> racks.computeIfAbsent(candidate.rack(), (rack) -> new ArrayList<>()).add(candidate));
		return racks.values();
	}

	boolean matches(StepSpec step) {
		return step.label().isEmpty() || this.worker.report().labels().contains(step.label().get());
	}

	/**
	 * A task that occupies resources of a worker.
	 *
	 * @param task the task
	 * @param room the resources it occupies
	 * @param priority the priority of its queue
	 * @param lostWorkMillis the work that stopping the task would discard, in
	 * milliseconds of run time weighted by its resources
	 * @param remainingMillis the remaining run time in milliseconds that few runs exceed;
	 * {@link #NEVER_ENDS} for a task that lasts
	 * @param unit the task, or the first member of its gang
	 * @param doneShare the share of its expected work that stopping it would discard, 0
	 * to 1
	 * @param stopping whether the task is to stop
	 */
	record RunningTask(TaskId task, Resources room, int priority, double lostWorkMillis, long remainingMillis,
			TaskId unit, double doneShare, boolean stopping) {

		static final long NEVER_ENDS = Long.MAX_VALUE;

		boolean ends() {
			return this.remainingMillis != NEVER_ENDS;
		}

	}

}
