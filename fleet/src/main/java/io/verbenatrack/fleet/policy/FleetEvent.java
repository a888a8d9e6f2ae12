package io.verbenatrack.fleet.policy;

import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.model.JobId;

/**
 * What the leader came to believe and does not record, for the log.
 */
public sealed interface FleetEvent {

	/**
	 * A life of a worker was heard for the first time.
	 *
	 * @param report its report
	 */
	record WorkerJoined(WorkerReport report) implements FleetEvent {

	}

	/**
	 * A worker says that it leaves.
	 *
	 * @param incarnation the worker
	 * @param running how many runs it still has
	 */
	record WorkerDraining(WorkerIncarnation incarnation, int running) implements FleetEvent {

	}

	/**
	 * A worker's lease ran out, or it left.
	 *
	 * @param incarnation the worker
	 * @param silentMillis how long it had been silent
	 */
	record WorkerGone(WorkerIncarnation incarnation, long silentMillis) implements FleetEvent {

	}

	/**
	 * Several jobs failed on a worker in a row, so it gets nothing new for a while.
	 *
	 * @param incarnation the worker
	 */
	record WorkerSuspected(WorkerIncarnation incarnation) implements FleetEvent {

	}

	/**
	 * A run is stopped so that an urgent job can start.
	 *
	 * @param task the task that stops
	 * @param run the number of its run
	 */
	record RunPreempted(TaskId task, int run) implements FleetEvent {

	}

	/**
	 * A run stands still and is stopped so that it starts again on another worker.
	 *
	 * @param task the task
	 * @param run the number of its run
	 * @param incarnation where it is held up
	 * @param percent how far it is
	 */
	record RunMoved(TaskId task, int run, WorkerIncarnation incarnation, int percent) implements FleetEvent {

	}

	/**
	 * A job waits since no workers have room for it.
	 *
	 * @param job the job
	 * @param step the step that waits
	 * @param tasks how many tasks wait
	 * @param accelerators what each needs
	 * @param outlook what it can still reach
	 */
	record JobWaits(JobId job, int step, int tasks, int accelerators, String outlook) implements FleetEvent {

	}

}
