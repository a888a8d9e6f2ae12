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
	 * Returns the estimated work of the waiting tasks, weighted by their resources.
	 * @return the work in accelerator milliseconds; a core counts as an eighth of an
	 * accelerator
	 */
	double work() {
		return (double) this.waiting.size() * this.spec().estimatedMillis() * weight(this.spec());
	}

	/**
	 * Returns the length of the critical path from this step to the end of the job.
	 * @return the estimated run time in milliseconds
	 */
	long criticalPathMillis() {
		List<StepSpec> steps = this.job.plan().steps();
		long[] pathMillis = new long[steps.size()];
		long longest = 0;
		for (int number = this.number; number < steps.size(); number++) {
			boolean first = number == this.number;
			long longestBefore = 0;
			for (int dependency : steps.get(number).after()) {
				longestBefore = Math.max(longestBefore, pathMillis[dependency]);
			}
			if (first || longestBefore > 0) {
				pathMillis[number] = longestBefore + Math.max(1, steps.get(number).estimatedMillis());
				longest = Math.max(longest, pathMillis[number]);
			}
		}
		return longest;
	}

	/**
	 * Returns the completion objective of the job: the maximum time from
	 * {@link #readyMillis} to its end.
	 * @return the objective in milliseconds, based on the caller's estimates
	 */
	long objectiveMillis() {
		long[] pathMillis = new long[this.job.plan().steps().size()];
		long longest = 0;
		for (int number = 0; number < pathMillis.length; number++) {
			StepSpec step = this.job.plan().steps().get(number);
			for (int dependency : step.after()) {
				pathMillis[number] = Math.max(pathMillis[number], pathMillis[dependency]);
			}
			pathMillis[number] += step.estimatedMillis();
			longest = Math.max(longest, pathMillis[number]);
		}
		return (long) (this.queue.stretch() * longest) + this.queue.latencyMillis();
	}

	static double weight(StepSpec spec) {
		return spec.room().accelerators() + spec.room().cpuMillis() / 8000.0;
	}

	Optional<WorkerIncarnation> failedOn(int index) {
		return this.step.tasks().get(index).failedOn();
	}

}
