package io.verbenatrack.fleet.model;

import java.util.List;
import java.util.Optional;

/**
 * A step of a job: a number of identical tasks.
 *
 * @param count the number of tasks
 * @param room the resources that each task requires
 * @param estimatedMillis the caller's rough estimate of the run time of a task, in
 * milliseconds
 * @param after the indexes, from 0, of the steps that must be done before this one starts
 * @param gang whether the tasks form a gang and must run at the same time
 * @param rackSensitive whether the gang runs much slower when spread over racks
 * @param label a label that the worker must have, if any
 * @param dataRack the rack that holds the data, if any; on other racks a task runs much
 * slower
 * @param mostOnOneWorker the maximum number of tasks of one occurrence on the same
 * worker, 0 for no limit
 * @param duplicates whether several copies of a task may run at the same time
 * @param lasting whether the tasks run until the job is cancelled
 * @param checkpoints whether a restarted task can resume from a checkpoint
 */
public record StepSpec(int count, Resources room, long estimatedMillis, List<Integer> after, boolean gang,
		boolean rackSensitive, Optional<String> label, Optional<String> dataRack, int mostOnOneWorker,
		boolean duplicates, boolean lasting, boolean checkpoints) {

	public StepSpec {
		after = List.copyOf(after);
	}

	/**
	 * Returns how many tasks of the step fit on a worker.
	 * @param free the free resources of the worker
	 * @return the number of tasks, at least 0
	 */
	public int maxTasksIn(Resources free) {
		int fitting = this.room.maxCopiesIn(free);
		return (this.mostOnOneWorker > 0) ? Math.min(this.mostOnOneWorker, fitting) : fitting;
	}

}
