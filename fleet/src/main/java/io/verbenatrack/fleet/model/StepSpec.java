package io.verbenatrack.fleet.model;

import java.util.List;
import java.util.Optional;

/**
 * One step of a job: tasks that are alike.
 *
 * @param count how many tasks
 * @param room what each task needs
 * @param estimatedMillis the caller's rough estimate of a task's run time
 * @param after the numbers, from 0, of the steps that must be done first
 * @param gang whether the tasks work only together
 * @param rackSensitive whether the gang runs much slower across racks
 * @param label a label that the worker must have
 * @param dataRack the rack that holds the data; elsewhere the task runs much slower
 * @param mostOnOneWorker how many tasks of one occurrence may share a worker, 0 for no
 * bound
 * @param duplicates whether copies of a task may run side by side
 * @param lasting whether the tasks run until the job is cancelled
 * @param checkpoints whether a task that starts again can go on from a checkpoint
 */
public record StepSpec(int count, Resources room, long estimatedMillis, List<Integer> after, boolean gang,
		boolean rackSensitive, Optional<String> label, Optional<String> dataRack, int mostOnOneWorker,
		boolean duplicates, boolean lasting, boolean checkpoints) {

	public StepSpec {
		after = List.copyOf(after);
	}

	/**
	 * How many tasks of the step a worker can take.
	 * @param free the room that is free there
	 * @return the number of tasks, from 0
	 */
	public int maxTasksIn(Resources free) {
		int fitting = this.room.maxCopiesIn(free);
		return (this.mostOnOneWorker > 0) ? Math.min(this.mostOnOneWorker, fitting) : fitting;
	}

}
