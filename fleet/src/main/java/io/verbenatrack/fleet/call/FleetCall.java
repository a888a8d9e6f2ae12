package io.verbenatrack.fleet.call;

import io.verbenatrack.fleet.model.FleetConfiguration;
import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.ZoneId;

/**
 * A call that only the leader answers. All calls are idempotent.
 */
public sealed interface FleetCall {

	/**
	 * The address and the credentials of a call from a client.
	 *
	 * @param host the host to which the call is addressed
	 * @param path the complete path
	 * @param key the API key of the caller, empty for none
	 */
	record Origin(String host, String path, String key) {

	}

	/**
	 * Submits the job named by the path.
	 *
	 * @param origin the address and the credentials
	 * @param plan the plan of the job
	 */
	record SubmitJob(Origin origin, JobPlan plan) implements FleetCall {

	}

	/**
	 * Requests the phase of the job named by the path, or the number of pending jobs when
	 * the path names a queue.
	 *
	 * @param origin the address and the credentials
	 */
	record AskState(Origin origin) implements FleetCall {

	}

	/**
	 * Cancels the job named by the path.
	 *
	 * @param origin the address and the credentials
	 */
	record CancelJob(Origin origin) implements FleetCall {

	}

	/**
	 * A heartbeat of a worker.
	 *
	 * @param report the report of the worker
	 */
	record Heartbeat(WorkerReport report) implements FleetCall {

	}

	/**
	 * Deregisters a worker that leaves permanently.
	 *
	 * @param worker the worker
	 */
	record Leave(WorkerId worker) implements FleetCall {

	}

	/**
	 * A new configuration from an operator.
	 *
	 * @param configuration the configuration
	 * @param document the configuration as the operator wrote it
	 */
	record ChangeConfiguration(FleetConfiguration configuration, byte[] document) implements FleetCall {

	}

	/**
	 * Requests the configuration in force.
	 */
	record ReadConfiguration() implements FleetCall {

	}

	/**
	 * An order from an operator to evacuate an availability zone.
	 *
	 * @param zone the zone
	 */
	record EvacuateZone(ZoneId zone) implements FleetCall {

	}

	/**
	 * An order from an operator to withdraw the evacuation of an availability zone.
	 *
	 * @param zone the zone
	 */
	record WithdrawEvacuation(ZoneId zone) implements FleetCall {

	}

	/**
	 * Checks that the leader is reachable, and requests the limits on calls.
	 */
	record Probe() implements FleetCall {

	}

}
