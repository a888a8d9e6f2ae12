package io.verbenatrack.bench.fleet;

import io.verbenatrack.fleet.model.Room;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerOrders;

/**
 * A run of a task on a virtual worker.
 */
final class VirtualRun {

	private static final double WHOLE = 100;

	private static final double CORES_OF_AN_ACCELERATOR = 8;

	final TaskId task;

	final int run;

	final Room room;

	final boolean checkpoints;

	final boolean gang;

	private final double workMillis;

	private double doneMillis;

	/** How much longer it takes where it runs. */
	double distance = 1;

	VirtualRun(TaskId task, int run, Room room, boolean checkpoints, boolean gang, double workMillis) {
		this.task = task;
		this.run = run;
		this.room = room;
		this.checkpoints = checkpoints;
		this.gang = gang;
		this.workMillis = workMillis;
	}

	void work(double millis) {
		this.doneMillis += millis / this.distance;
	}

	boolean finished() {
		return this.doneMillis >= this.workMillis;
	}

	double lossCoreSeconds() {
		double cores = this.room.cpuMillis() / 1000.0 + CORES_OF_AN_ACCELERATOR * this.room.accelerators();
		return this.checkpoints ? 0 : cores * this.doneMillis / 1000;
	}

	int percent() {
		return (int) Math.min(WHOLE, WHOLE * this.doneMillis / this.workMillis);
	}

	/** Creates runs for orders. */
	interface Factory {

		VirtualRun create(WorkerOrders.Start start, VirtualWorker worker, long nowMillis);

	}

}
