package io.verbenatrack.scheduling.rules;

import java.time.Duration;
import java.util.List;

import io.verbenatrack.model.FleetDefaults;
import io.verbenatrack.scheduling.state.WorkerRecord;

/**
 * Decides when a worker with repeated failures is quarantined, and for how long. At most
 * a configured fraction of the fleet is quarantined.
 */
public final class WorkerQuarantine {

	private static final int MAXIMUM_DOUBLINGS = 6;

	private WorkerQuarantine() {
	}

	/**
	 * Returns the duration of a quarantine, which doubles with each failure on probation.
	 * @param worker the worker
	 * @param defaults the configured defaults
	 * @return the time
	 */
	public static Duration duration(WorkerRecord worker, FleetDefaults defaults) {
		int repeated = worker.failuresInARow() - defaults.quarantineAfterFailures();
		return defaults.quarantineProbation().multipliedBy(1L << Math.clamp(repeated, 0, MAXIMUM_DOUBLINGS));
	}

	/**
	 * Returns whether to quarantine a worker on which a member has just failed. On
	 * probation a single failure suffices.
	 * @param worker the worker
	 * @param fleet all workers
	 * @param defaults the configured defaults
	 * @return whether it is quarantined
	 */
	public static boolean shouldQuarantine(WorkerRecord worker, List<WorkerRecord> fleet, FleetDefaults defaults) {
		int failureLimit = "probation".equals(worker.phase()) ? 1 : defaults.quarantineAfterFailures();
		if (!worker.usable() || worker.failuresInARow() < failureLimit) {
			return false;
		}
		int present = 0;
		int quarantined = 0;
		for (WorkerRecord each : fleet) {
			present += "lost".equals(each.phase()) ? 0 : 1;
			quarantined += "quarantined".equals(each.phase()) ? 1 : 0;
		}
		return quarantined + 1 <= defaults.quarantineMaximumShare() * present;
	}

}
