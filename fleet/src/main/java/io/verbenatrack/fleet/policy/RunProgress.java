package io.verbenatrack.fleet.policy;

import io.verbenatrack.fleet.forecast.Quantile;
import io.verbenatrack.fleet.forecast.RunClass;
import io.verbenatrack.fleet.forecast.RunForecast;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.state.JobState;
import io.verbenatrack.fleet.state.StepState;

/**
 * The observed progress of the current run of a task, and what is expected of the rest.
 *
 * @param forecast forecasts the run times
 * @param runClass the class of the run
 * @param spec the specification of its step
 * @param task the task
 * @param run the run number
 * @param percent the progress in percent, 0 to 100
 */
record RunProgress(RunForecast forecast, RunClass runClass, StepSpec spec, TaskId task, int run, int percent) {

	static final int WHOLE_PERCENT = 100;

	/**
	 * Returns the progress by the latest report of a worker.
	 * @param forecast forecasts the run times
	 * @param job the job of the task
	 * @param step the step of the task
	 * @param task the task
	 * @param worker the worker that runs the task
	 * @return the progress, 0% if the worker does not report the run
	 */
	static RunProgress of(RunForecast forecast, JobState job, StepState step, TaskId task, TrackedWorker worker) {
		// The samples are runs that end, so they do not concern a lasting step.
		RunForecast applicable = step.spec().lasting() ? RunForecast.DECLARED : forecast;
		return new RunProgress(applicable, new RunClass(job.queue(), job.account()), step.spec(), task,
				step.tasks().get(task.index()).run(), worker.percent(task));
	}

	/**
	 * Returns the median run time of the whole task on a worker of nominal speed.
	 * @return the time in milliseconds
	 */
	long totalMillis() {
		return this.forecast.totalMillis(this.runClass, this.spec.estimatedMillis(), Quantile.MEDIAN);
	}

	/**
	 * Returns the expected time of the whole run on its worker: that of the task, or more
	 * when the pace of the run is slower.
	 * @return the time in milliseconds
	 */
	long wholeRunMillis() {
		int left = WHOLE_PERCENT - this.percent;
		return (left > 0) ? Math.max(totalMillis(), remainingMillis(Quantile.MEDIAN) * WHOLE_PERCENT / left)
				: totalMillis();
	}

	/**
	 * Returns the work that the run has done.
	 * @return the run time of this part of the task at nominal speed, in milliseconds
	 */
	double doneMillis() {
		return totalMillis() * this.percent / (double) WHOLE_PERCENT;
	}

	/**
	 * Returns the remaining time on the worker where the task runs.
	 * @param quantile the quantile
	 * @return the time in milliseconds
	 */
	long remainingMillis(Quantile quantile) {
		return this.forecast.remainingMillis(this.task, this.run, this.runClass, this.spec.estimatedMillis(),
				this.percent, quantile);
	}

}
