package io.verbenatrack.bench.fleet;

import io.verbenatrack.fleet.model.HeartbeatResponse;
import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.TaskId;

/**
 * Run of a task on a simulated worker.
 */
final class VirtualRun {

	private static final double WHOLE = 100;

	/** Time to restore a checkpoint. */
	private static final double RESTORE_MILLIS = 250;

	private static final String CHECKPOINT = "at-";

	private static final double CORES_OF_AN_ACCELERATOR = 8;

	final TaskId task;

	final int run;

	final Resources room;

	final boolean checkpoints;

	final boolean gang;

	private final double workMillis;

	private double doneMillis;

	private double restoreMillis;

	/** Slowdown by the placement of the gang; 1 if there is none. */
	double distance = 1;

	VirtualRun(TaskId task, int run, Resources room, boolean checkpoints, boolean gang, double workMillis,
			String checkpoint) {
		this.task = task;
		this.run = run;
		this.room = room;
		this.checkpoints = checkpoints;
		this.gang = gang;
		this.workMillis = workMillis;
		this.doneMillis = checkpoint.isEmpty() ? 0
				: workMillis * Integer.parseInt(checkpoint.substring(CHECKPOINT.length())) / WHOLE;
		this.restoreMillis = checkpoint.isEmpty() ? 0 : RESTORE_MILLIS;
	}

	void work(double millis) {
		if (this.restoreMillis > 0) {
			this.restoreMillis -= millis;
			return;
		}
		this.doneMillis += millis / this.distance;
	}

	String checkpoint() {
		return this.checkpoints ? CHECKPOINT + percent() : "";
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

	/** Creates runs for start orders. */
	interface Factory {

		VirtualRun create(HeartbeatResponse.Start start, VirtualWorker worker, long nowMillis);

	}

}
