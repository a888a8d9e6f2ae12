package io.verbenatrack.scheduling.rules;

import java.util.List;

import io.verbenatrack.model.FleetDefaults;
import io.verbenatrack.scheduling.state.WorkerRecord;

/**
 * Quarantines a worker that fails what it starts, up to a share of the fleet.
 */
public final class BadWorker {

	private BadWorker() {
	}

	/**
	 * Decides on a worker where a member just failed. On probation one failure suffices.
	 * @param worker the worker
	 * @param fleet all workers
	 * @param defaults the policy in force
	 * @return whether it is quarantined
	 */
	public static boolean quarantines(WorkerRecord worker, List<WorkerRecord> fleet, FleetDefaults defaults) {
		int allowed = "probation".equals(worker.phase()) ? 1 : defaults.quarantineAfterFailures();
		if (!worker.usable() || worker.failuresInARow() < allowed) {
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
