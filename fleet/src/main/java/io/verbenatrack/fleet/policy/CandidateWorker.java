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

	private final List<Occupant> occupants = new ArrayList<>();

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

	List<Occupant> occupants() {
		return this.occupants;
	}

	void occupy(Occupant occupant) {
		this.occupants.add(occupant);
		this.free = this.free.minus(occupant.room());
	}

	void take(Resources room) {
		this.free = this.free.minus(room);
	}

	boolean empty() {
		return this.free.equals(this.worker.report().room());
	}

	/** Keeps work of lower priority away while room is being cleared here. */
	void reserve() {
		this.reserved = true;
	}

	boolean reserved() {
		return this.reserved;
	}

	static Collection<List<CandidateWorker>> byRack(Collection<CandidateWorker> hosts) {
		Map<String, List<CandidateWorker>> racks = new TreeMap<>();
		hosts.forEach((host) -> racks.computeIfAbsent(host.rack(), (rack) -> new ArrayList<>()).add(host));
		return racks.values();
	}

	boolean suits(StepSpec step) {
		return step.label().isEmpty() || this.worker.report().labels().contains(step.label().get());
	}

	/**
	 * What runs on a worker.
	 *
	 * @param task the task
	 * @param room what it takes
	 * @param priority the priority of its queue
	 * @param lossMillis how much work a stop would throw away, in milliseconds of run
	 * time weighted by the room
	 * @param leftMillis how long it still runs, by its caller's estimate
	 */
	record Occupant(TaskId task, Resources room, int priority, double lossMillis, long leftMillis) {

	}

}
