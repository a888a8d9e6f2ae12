package io.verbenatrack.fleet.policy;

import java.util.List;

import io.verbenatrack.fleet.forecast.Quantile;
import io.verbenatrack.fleet.forecast.RunClass;
import io.verbenatrack.fleet.forecast.RunForecast;
import io.verbenatrack.fleet.model.Queue;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.state.JobState;

/**
 * The forecast run times of the steps of a job on workers of nominal speed. A pass
 * computes them once for a job, as it compares steps often.
 */
final class JobForecast {

	private final List<StepSpec> steps;

	private final long[] medianMillis;

	private final long[] cautiousMillis;

	/** The critical paths by the step that they begin with, 0 until computed. */
	private final long[] criticalPathMillis;

	private final long objectiveMillis;

	private boolean learned;

	private JobForecast(JobState job, Queue queue, RunForecast forecast) {
		this.steps = job.plan().steps();
		this.medianMillis = new long[this.steps.size()];
		this.cautiousMillis = new long[this.steps.size()];
		this.criticalPathMillis = new long[this.steps.size()];
		RunClass runClass = new RunClass(job.queue(), job.account());
		for (int number = 0; number < this.steps.size(); number++) {
			StepSpec step = this.steps.get(number);
			long estimated = step.estimatedMillis();
			// The samples are runs that end, so they do not concern a lasting step.
			this.medianMillis[number] = step.lasting() ? estimated
					: forecast.totalMillis(runClass, estimated, Quantile.MEDIAN);
			this.cautiousMillis[number] = step.lasting() ? estimated
					: forecast.totalMillis(runClass, estimated, Quantile.CAUTIOUS);
			this.learned |= this.medianMillis[number] != estimated;
		}
		this.objectiveMillis = (long) (queue.stretch() * longestPathMillis()) + queue.latencyMillis();
	}

	static JobForecast of(JobState job, Queue queue, RunForecast forecast) {
		return new JobForecast(job, queue, forecast);
	}

	/**
	 * Returns the median run time of a task.
	 * @param number the index of its step
	 * @return the time in milliseconds
	 */
	long medianMillis(int number) {
		return this.medianMillis[number];
	}

	/**
	 * Returns the run time that few tasks exceed.
	 * @param number the index of their step
	 * @return the time in milliseconds
	 */
	long cautiousMillis(int number) {
		return this.cautiousMillis[number];
	}

	/**
	 * Returns whether any run time differs from the caller's estimate.
	 * @return whether observed runs correct the estimates
	 */
	boolean learned() {
		return this.learned;
	}

	/**
	 * Returns the completion objective: the maximum time from the acceptance of the job,
	 * or from when the occurrence is due, to its end. It counts the true run times at
	 * nominal speed, for which the median is the best guess.
	 * @return the objective in milliseconds
	 */
	long objectiveMillis() {
		return this.objectiveMillis;
	}

	/**
	 * Returns the length of the critical path from a step to the end of the job.
	 * @param from the index of the step
	 * @return the median run time in milliseconds, at least 1
	 */
	long criticalPathMillis(int from) {
		if (this.criticalPathMillis[from] == 0) {
			this.criticalPathMillis[from] = pathFrom(from);
		}
		return this.criticalPathMillis[from];
	}

	private long pathFrom(int from) {
		long[] pathMillis = new long[this.steps.size()];
		long longest = 0;
		for (int number = from; number < pathMillis.length; number++) {
			long longestBefore = 0;
			for (int dependency : this.steps.get(number).after()) {
				longestBefore = Math.max(longestBefore, pathMillis[dependency]);
			}
			if (number == from || longestBefore > 0) {
				pathMillis[number] = longestBefore + Math.max(1, this.medianMillis[number]);
				longest = Math.max(longest, pathMillis[number]);
			}
		}
		return longest;
	}

	private long longestPathMillis() {
		long[] pathMillis = new long[this.steps.size()];
		long longest = 0;
		for (int number = 0; number < pathMillis.length; number++) {
			for (int dependency : this.steps.get(number).after()) {
				pathMillis[number] = Math.max(pathMillis[number], pathMillis[dependency]);
			}
			pathMillis[number] += this.medianMillis[number];
			longest = Math.max(longest, pathMillis[number]);
		}
		return longest;
	}

}
