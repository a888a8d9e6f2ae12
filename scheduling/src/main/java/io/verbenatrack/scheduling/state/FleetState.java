package io.verbenatrack.scheduling.state;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.verbenatrack.model.RackId;
import io.verbenatrack.model.Slot;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.WorkerSpec;
import io.verbenatrack.scheduling.SchedulingDecision;

/**
 * The workers of the fleet, grouped by rack.
 */
public final class FleetState {

	private final Map<WorkerId, WorkerRecord> byId = new LinkedHashMap<>();

	private final List<WorkerRecord> byIndex = new ArrayList<>();

	private final Map<RackId, RackRecord> racks = new TreeMap<>();

	private final List<WorkerListener> listeners = new ArrayList<>();

	/**
	 * Registers a listener that is called after each change of a worker.
	 * @param listener the listener
	 */
	public void addListener(WorkerListener listener) {
		this.listeners.add(listener);
	}

	void admit(WorkerSpec spec) {
		WorkerRecord worker = this.byId.get(spec.id());
		if (worker == null) {
			worker = new WorkerRecord(this.byIndex.size(), spec);
			add(worker);
		}
		else {
			this.racks.get(worker.spec().rack()).remove(worker);
			worker.changePhase("announce");
			worker.reset(spec);
		}
		this.racks.computeIfAbsent(spec.rack(), RackRecord::new).add(worker);
		notifyListeners(worker);
	}

	private void add(WorkerRecord worker) {
		this.byId.put(worker.id(), worker);
		this.byIndex.add(worker);
	}

	void restore(SchedulingDecision.RestoreWorker snapshot) {
		WorkerRecord worker = new WorkerRecord(this.byIndex.size(), snapshot);
		add(worker);
		this.racks.computeIfAbsent(worker.spec().rack(), RackRecord::new).add(worker);
		notifyListeners(worker);
	}

	void markLost(WorkerId id) {
		WorkerRecord worker = require(id);
		worker.changePhase("lose");
		worker.releaseAll();
		notifyListeners(worker);
	}

	void drain(WorkerId id) {
		WorkerRecord worker = require(id);
		worker.changePhase("drain");
		notifyListeners(worker);
	}

	void quarantine(WorkerId id, Instant until) {
		WorkerRecord worker = require(id);
		worker.quarantine(until);
		notifyListeners(worker);
	}

	void release(WorkerId id) {
		WorkerRecord worker = require(id);
		worker.changePhase("release");
		notifyListeners(worker);
	}

	void hold(JobRecord job, GangLease lease) {
		for (GangMember member : lease.members()) {
			if (!member.detached()) {
				WorkerRecord worker = require(member.slot().worker());
				worker.hold(job, member.slot());
				notifyListeners(worker);
			}
		}
	}

	void release(JobRecord job, List<Slot> slots) {
		for (Slot slot : slots) {
			WorkerRecord worker = require(slot.worker());
			worker.release(job, slot);
			notifyListeners(worker);
		}
	}

	private void notifyListeners(WorkerRecord worker) {
		for (WorkerListener listener : this.listeners) {
			listener.workerChanged(worker);
		}
	}

	WorkerRecord require(WorkerId id) {
		WorkerRecord worker = this.byId.get(id);
		if (worker == null) {
			throw new IllegalStateException(
					"Worker " + id + " was never admitted. Apply the decisions in the order of the log.");
		}
		return worker;
	}

	/**
	 * Finds a worker.
	 * @param id the worker
	 * @return its record, empty when the worker never announced itself
	 */
	public Optional<WorkerRecord> worker(WorkerId id) {
		return Optional.ofNullable(this.byId.get(id));
	}

	/**
	 * Returns the worker with the given index.
	 * @param index the index, see {@link WorkerRecord#index()}
	 * @return its record
	 */
	public WorkerRecord workerAt(int index) {
		return this.byIndex.get(index);
	}

	/**
	 * Returns every worker that ever announced itself.
	 * @return the workers in order of their index
	 */
	public List<WorkerRecord> workers() {
		return Collections.unmodifiableList(this.byIndex);
	}

	/**
	 * Returns every rack.
	 * @return the racks in order of their ids
	 */
	public Collection<RackRecord> racks() {
		return Collections.unmodifiableCollection(this.racks.values());
	}

	/**
	 * Returns the rack of a worker.
	 * @param worker the worker
	 * @return its rack
	 */
	public RackRecord rackOf(WorkerRecord worker) {
		return this.racks.get(worker.spec().rack());
	}

}
