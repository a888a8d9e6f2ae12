package io.verbenatrack.fleet.policy;

import java.util.List;
import java.util.Optional;

import io.verbenatrack.fleet.model.Queue;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.state.JobState;
import io.verbenatrack.fleet.state.StepState;

/**
 * A step with tasks that wait for a start.
 *
 * @param job the job
 * @param queue the queue of the job
 * @param occurrence the index of the occurrence
 * @param number the index of the step
 * @param step the state of the step
 * @param waiting the indexes of the waiting tasks
 * @param readyMillis when the job was accepted or the occurrence was due, whichever is
 * later, in milliseconds since the epoch
 * @param forecast the forecast run times of the job
 */
record PendingStep(JobState job, Queue queue, int occurrence, int number, StepState step, List<Integer> waiting,
		long readyMillis, JobForecast forecast) {

	/**
	 * Returns the step with only some of its waiting tasks.
	 * @param tasks the indexes of the tasks
	 * @return the step
	 */
	PendingStep withWaiting(List<Integer> tasks) {
		return new PendingStep(this.job, this.queue, this.occurrence, this.number, this.step, tasks, this.readyMillis,
				this.forecast);
	}

	StepSpec spec() {
		return this.step.spec();
	}

	TaskId task(int index) {
		return new TaskId(this.job.job(), this.occurrence, this.number, index);
	}

	/**
	 * Returns the expected work of the waiting tasks, weighted by their resources.
	 * @return the work in accelerator milliseconds; a core counts as an eighth of an
	 * accelerator
	 */
	double work() {
		return (double) this.waiting.size() * medianMillis() * weight(this.spec());
	}

	/**
	 * Returns the median run time of a task on a worker of nominal speed.
	 * @return the time in milliseconds
	 */
	long medianMillis() {
		return this.forecast.medianMillis(this.number);
	}

	/**
	 * Returns the run time on a worker of nominal speed that few tasks exceed.
	 * @return the time in milliseconds
	 */
	long cautiousMillis() {
		return this.forecast.cautiousMillis(this.number);
	}

	/**
	 * Returns the length of the critical path from this step to the end of the job.
	 * @return the median run time in milliseconds
	 */
	long criticalPathMillis() {
		return this.forecast.criticalPathMillis(this.number);
	}

	/**
	 * Returns the completion objective of the job: the maximum time from
	 * {@link #readyMillis} to its end.
	 * @return the objective in milliseconds
	 */
	long objectiveMillis() {
		return this.forecast.objectiveMillis();
	}

	static double weight(StepSpec spec) {
		return spec.room().accelerators() + spec.room().cpuMillis() / 8000.0;
	}

	Optional<WorkerIncarnation> failedOn(int index) {
		return this.step.tasks().get(index).failedOn();
	}

}
