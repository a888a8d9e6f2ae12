package io.verbenatrack.bench.fleet;

import io.verbenatrack.fleet.model.HeartbeatResponse;
import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.TaskId;

/**
 * Run of a task on a simulated worker.
 */
final class SimulatedRun {

	private static final double PERCENT = 100;

	/** Time to restore a checkpoint. */
	private static final double RESTORE_MILLIS = 250;

	private static final String CHECKPOINT_PREFIX = "at-";

	private static final double CORES_PER_ACCELERATOR = 8;

	final TaskId task;

	final int run;

	final Resources resources;

	final boolean checkpoints;

	final boolean gang;

	private final double workMillis;

	private double doneMillis;

	private double restoreMillis;

	/** Slowdown by the placement of the gang; 1 if there is none. */
	double rackSlowdown = 1;

	SimulatedRun(TaskId task, int run, Resources resources, boolean checkpoints, boolean gang, double workMillis,
			String checkpoint) {
		this.task = task;
		this.run = run;
		this.resources = resources;
		this.checkpoints = checkpoints;
		this.gang = gang;
		this.workMillis = workMillis;
		this.doneMillis = checkpoint.isEmpty() ? 0
				: workMillis * Integer.parseInt(checkpoint.substring(CHECKPOINT_PREFIX.length())) / PERCENT;
		this.restoreMillis = checkpoint.isEmpty() ? 0 : RESTORE_MILLIS;
	}

	void advance(double millis) {
		if (this.restoreMillis > 0) {
			this.restoreMillis -= millis;
			return;
		}
		this.doneMillis += millis / this.rackSlowdown;
	}

	String checkpoint() {
		return this.checkpoints ? CHECKPOINT_PREFIX + percent() : "";
	}

	boolean finished() {
		return this.doneMillis >= this.workMillis;
	}

	double unsavedCoreSeconds() {
		double cores = this.resources.cpuMillis() / 1000.0 + CORES_PER_ACCELERATOR * this.resources.accelerators();
		return this.checkpoints ? 0 : cores * this.doneMillis / 1000;
	}

	int percent() {
		return (int) Math.min(PERCENT, PERCENT * this.doneMillis / this.workMillis);
	}

	/** Creates runs for start orders. */
	interface Factory {

		SimulatedRun create(HeartbeatResponse.Start start, SimulatedWorker worker, long nowMillis);

	}

}
