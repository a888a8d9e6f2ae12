package io.verbenatrack.fleet.model;

import java.util.List;

/**
 * The answer to a worker's heartbeat.
 *
 * @param leaseMillis how long everything on the worker may run on, counted from when the
 * heartbeat was sent; 0 renews nothing
 * @param takenNote the number of the last end that may be forgotten
 * @param fence orders of a lower fence are void
 * @param starts what to start
 * @param stops what to stop
 * @param retryMillis when the worker is to report again at the latest
 */
public record HeartbeatResponse(long leaseMillis, long takenNote, long fence, List<Start> starts, List<Stop> stops,
		long retryMillis) {

	/**
	 * Starts a run.
	 *
	 * @param task the task
	 * @param run the number of the run
	 * @param payload what it is started with
	 * @param checkpoint where it goes on, empty for the beginning
	 */
	public record Start(TaskId task, int run, String payload, String checkpoint) {

	}

	/**
	 * Stops a run.
	 *
	 * @param task the task
	 * @param run the number of the run
	 */
	public record Stop(TaskId task, int run) {

	}

}
