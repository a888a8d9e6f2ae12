package io.verbenatrack.fleet.model;

import java.util.List;

/**
 * The response to a heartbeat of a worker.
 *
 * @param leaseMillis how long the runs of the worker may continue, in milliseconds from
 * the sending of the heartbeat; 0 does not renew the lease
 * @param takenNote the number of the last reported end that is recorded, so that the
 * worker need not report it again
 * @param fence the fencing token; a worker ignores responses with a lower one
 * @param starts the runs to start
 * @param stops the runs to stop
 * @param retryMillis the maximum time until the next report, in milliseconds
 */
public record HeartbeatResponse(long leaseMillis, long takenNote, long fence, List<Start> starts, List<Stop> stops,
		long retryMillis) {

	/**
	 * An instruction to start a run.
	 *
	 * @param task the task
	 * @param run the run number
	 * @param payload the text that is passed to the task
	 * @param checkpoint the checkpoint to resume from, empty to start from the beginning
	 */
	public record Start(TaskId task, int run, String payload, String checkpoint) {

	}

	/**
	 * An instruction to stop a run.
	 *
	 * @param task the task
	 * @param run the run number
	 */
	public record Stop(TaskId task, int run) {

	}

}
