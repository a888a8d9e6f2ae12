package io.verbenatrack.fleet.policy;

import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerLife;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.model.JobId;

/**
 * What the leader came to believe and does not record, for the log.
 */
public sealed interface FleetNote {

	/**
	 * A life of a worker was heard for the first time.
	 *
	 * @param report its report
	 */
	record WorkerJoined(WorkerReport report) implements FleetNote {

	}

	/**
	 * A worker says that it leaves.
	 *
	 * @param life the worker
	 * @param running how many runs it still has
	 */
	record WorkerDraining(WorkerLife life, int running) implements FleetNote {

	}

	/**
	 * A worker's lease ran out, or it left.
	 *
	 * @param life the worker
	 * @param silentMillis how long it had been silent
	 */
	record WorkerGone(WorkerLife life, long silentMillis) implements FleetNote {

	}

	/**
	 * Several jobs failed on a worker in a row, so it gets nothing new for a while.
	 *
	 * @param life the worker
	 */
	record WorkerSuspected(WorkerLife life) implements FleetNote {

	}

	/**
	 * A run is stopped so that an urgent job can start.
	 *
	 * @param task the task that stops
	 * @param run the number of its run
	 */
	record RunPreempted(TaskId task, int run) implements FleetNote {

	}

	/**
	 * A run stands still and is stopped so that it starts again on another worker.
	 *
	 * @param task the task
	 * @param run the number of its run
	 * @param life where it is held up
	 * @param percent how far it is
	 */
	record RunMoved(TaskId task, int run, WorkerLife life, int percent) implements FleetNote {

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
	record JobWaits(JobId job, int step, int tasks, int accelerators, String outlook) implements FleetNote {

	}

}
