package io.verbenatrack.fleet.call;

import io.verbenatrack.fleet.model.FleetConfiguration;
import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.model.WorkerId;

/**
 * A call that only the leader answers. Every call may be sent again without harm.
 */
public sealed interface FleetCall {

	/**
	 * Where a caller's call goes and on whose behalf.
	 *
	 * @param host the host that the caller named
	 * @param path the whole path
	 * @param key the caller's key, empty for none
	 */
	record Origin(String host, String path, String key) {

	}

	/**
	 * Submits the job that the path names.
	 *
	 * @param origin the call
	 * @param plan what to run
	 */
	record SubmitJob(Origin origin, JobPlan plan) implements FleetCall {

	}

	/**
	 * Asks for the phase of the job that the path names, or for the jobs that wait when
	 * it names a queue.
	 *
	 * @param origin the call
	 */
	record AskState(Origin origin) implements FleetCall {

	}

	/**
	 * Cancels the job that the path names.
	 *
	 * @param origin the call
	 */
	record CancelJob(Origin origin) implements FleetCall {

	}

	/**
	 * A worker's heartbeat.
	 *
	 * @param report what the worker says
	 */
	record Heartbeat(WorkerReport report) implements FleetCall {

	}

	/**
	 * A worker leaves for good.
	 *
	 * @param worker the worker
	 */
	record Leave(WorkerId worker) implements FleetCall {

	}

	/**
	 * An operator's new configuration.
	 *
	 * @param configuration the configuration
	 * @param document the same as the operator wrote it
	 */
	record ChangeConfiguration(FleetConfiguration configuration, byte[] document) implements FleetCall {

	}

	/**
	 * Asks for the newest configuration.
	 */
	record ReadConfiguration() implements FleetCall {

	}

	/**
	 * Asks whether the leader can be reached, and for the limits on calls.
	 */
	record Probe() implements FleetCall {

	}

}
