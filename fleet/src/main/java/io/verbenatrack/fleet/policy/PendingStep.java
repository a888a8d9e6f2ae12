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

	/**
	 * The run time left of the longest chain of steps that begins here.
	 * @return milliseconds, by the caller's estimates
	 */
	long chainMillis() {
		List<StepSpec> steps = this.job.plan().steps();
		long[] chains = new long[steps.size()];
		long longest = 0;
		for (int number = this.number; number < steps.size(); number++) {
			boolean begins = number == this.number;
			long before = 0;
			for (int earlier : steps.get(number).after()) {
				before = Math.max(before, chains[earlier]);
			}
			if (begins || before > 0) {
				chains[number] = before + Math.max(1, steps.get(number).estimatedMillis());
				longest = Math.max(longest, chains[number]);
			}
		}
		return longest;
	}

	/**
	 * How long the whole job may take to be in time.
	 * @return milliseconds from when it was ready, by the caller's estimates
	 */
	long objectiveMillis() {
		long[] chains = new long[this.job.plan().steps().size()];
		long longest = 0;
		for (int number = 0; number < chains.length; number++) {
			StepSpec step = this.job.plan().steps().get(number);
			for (int earlier : step.after()) {
				chains[number] = Math.max(chains[number], chains[earlier]);
			}
			chains[number] += step.estimatedMillis();
			longest = Math.max(longest, chains[number]);
		}
		return (long) (this.queue.stretch() * longest) + this.queue.latencyMillis();
	}

	static double weight(StepSpec spec) {
		return spec.room().accelerators() + spec.room().cpuMillis() / 8000.0;
	}

	Optional<WorkerIncarnation> avoid(int index) {
		return this.step.tasks().get(index).failedOn();
	}

}
