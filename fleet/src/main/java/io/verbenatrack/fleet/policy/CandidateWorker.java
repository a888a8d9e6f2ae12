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
 * A worker as one placement pass sees it: its free room shrinks as tasks are placed.
 */
final class CandidateWorker {

	private final TrackedWorker worker;

	private final List<RunningTask> runningTasks = new ArrayList<>();

	private Resources free;

	private boolean reserved;

	CandidateWorker(TrackedWorker worker) {
		this.worker = worker;
		this.free = worker.report().room();
	}

	TrackedWorker worker() {
		return this.worker;
	}

	String rack() {
		return this.worker.report().rack();
	}

	Resources free() {
		return this.free;
	}

	List<RunningTask> runningTasks() {
		return this.runningTasks;
	}

	void addRunning(RunningTask running) {
		this.runningTasks.add(running);
		this.free = this.free.minus(running.room());
	}

	void allocate(Resources room) {
		this.free = this.free.minus(room);
	}

	boolean idle() {
		return this.free.equals(this.worker.report().room());
	}

	/** Keeps work of lower priority away while room is being cleared here. */
	void reserve() {
		this.reserved = true;
	}

	boolean reserved() {
		return this.reserved;
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
	 * What runs on a worker.
	 *
	 * @param task the task
	 * @param room what it takes
	 * @param priority the priority of its queue
	 * @param lostWorkMillis how much work a stop would throw away, in milliseconds of run
	 * time weighted by the room
	 * @param remainingMillis how long it still runs, by its caller's estimate
	 */
	record RunningTask(TaskId task, Resources room, int priority, double lostWorkMillis, long remainingMillis) {

	}

}
