package io.verbenatrack.fleet.policy;

import java.util.List;
import java.util.Optional;

import io.verbenatrack.fleet.model.Queue;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerLife;
import io.verbenatrack.fleet.state.JobState;
import io.verbenatrack.fleet.state.StepState;

/**
 * The tasks of a step that wait for a start.
 *
 * @param job their job
 * @param queue its queue
 * @param occurrence the occurrence
 * @param number the number of the step
 * @param step the step
 * @param waiting the indexes of the tasks that wait
 * @param readyMillis since when they could run, in milliseconds since 1970
 */
record PendingStep(JobState job, Queue queue, int occurrence, int number, StepState step, List<Integer> waiting,
		long readyMillis) {

	StepSpec spec() {
		return this.step.spec();
	}

	TaskId task(int index) {
		return new TaskId(this.job.job(), this.occurrence, this.number, index);
	}

	/**
	 * The work left, weighted by what it takes.
	 * @return accelerator milliseconds, a core counting as an eighth of an accelerator
	 */
	double work() {
		return (double) this.waiting.size() * this.spec().estimatedMillis() * weight(this.spec());
	}

	static double weight(StepSpec spec) {
		return spec.room().accelerators() + spec.room().cpuMillis() / 8000.0;
	}

	Optional<WorkerLife> avoid(int index) {
		return this.step.tasks().get(index).failedOn();
	}

}
