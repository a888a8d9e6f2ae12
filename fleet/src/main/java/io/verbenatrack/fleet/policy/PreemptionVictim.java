package io.verbenatrack.fleet.policy;

import java.util.HashMap;
import java.util.Map;

import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.TaskId;

/**
 * A run that may be preempted, or all runs of a gang.
 */
final class PreemptionVictim {

	private final TaskId unit;

	private final int priority;

	private final double lostWorkMillis;

	private final double cost;

	private final double doneShare;

	private boolean stopping;

	private final Map<CandidateWorker, Resources> rooms = new HashMap<>();

	/**
	 * Creates a victim.
	 * @param running one of its tasks
	 * @param cost the cost of its preemption
	 */
	PreemptionVictim(CandidateWorker.RunningTask running, double cost) {
		this.unit = running.unit();
		this.priority = running.priority();
		this.lostWorkMillis = running.lostWorkMillis();
		this.stopping = running.stopping();
		this.cost = cost;
		this.doneShare = running.doneShare();
	}

	void add(CandidateWorker worker, CandidateWorker.RunningTask running) {
		this.rooms.merge(worker, running.room(), Resources::plus);
	}

	/**
	 * Returns the task, or the first member of the gang.
	 * @return the task
	 */
	TaskId unit() {
		return this.unit;
	}

	boolean preemptible() {
		return this.priority > 0;
	}

	/**
	 * Marks the victim as preempted for another step of the same pass.
	 */
	void stop() {
		this.stopping = true;
	}

	boolean stopping() {
		return this.stopping;
	}

	/**
	 * Returns the work that its preemption discards.
	 * @return the work in milliseconds weighted by resources, 0 if it already stops
	 */
	double lostWorkMillis() {
		return this.stopping ? 0 : this.lostWorkMillis;
	}

	/**
	 * Returns the share of its expected work that would be lost.
	 * @return from 0 to 1
	 */
	double doneShare() {
		return this.doneShare;
	}

	/**
	 * Returns the cost of its preemption, by which plans are compared.
	 * @return the cost, 0 if it already stops
	 */
	double cost() {
		return this.stopping ? 0 : this.cost;
	}

	/**
	 * Returns the resources that it occupies.
	 * @return the resources by worker
	 */
	Map<CandidateWorker, Resources> rooms() {
		return this.rooms;
	}

	Resources roomOn(CandidateWorker worker) {
		return this.rooms.getOrDefault(worker, Resources.NONE);
	}

}
