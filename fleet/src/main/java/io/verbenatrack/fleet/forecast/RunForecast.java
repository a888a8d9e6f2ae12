package io.verbenatrack.fleet.forecast;

import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;

/**
 * Forecasts the run times of tasks and the speeds of workers. A wrong forecast may cost
 * time; no promise depends on it.
 */
public interface RunForecast {

	/** Takes the estimates of the callers as they are, and all workers as alike. */
	RunForecast DECLARED = new DeclaredForecast();

	/**
	 * Forecasts the run time of a whole task on a worker of nominal speed.
	 * @param runClass the class of the run
	 * @param estimatedMillis the caller's estimate of the run time in milliseconds
	 * @param quantile the quantile
	 * @return the run time in milliseconds, at least 0
	 */
	long totalMillis(RunClass runClass, long estimatedMillis, Quantile quantile);

	/**
	 * Forecasts the remaining time of a run in progress on its worker.
	 * @param task the task
	 * @param run the run number
	 * @param runClass the class of the run
	 * @param estimatedMillis the caller's estimate of the run time in milliseconds
	 * @param percent the progress in percent, 0 to 100
	 * @param quantile the quantile
	 * @return the remaining time in milliseconds, at least 0
	 */
	long remainingMillis(TaskId task, int run, RunClass runClass, long estimatedMillis, int percent, Quantile quantile);

	/**
	 * Returns the speed of a worker relative to the nominal speed.
	 * @param worker the incarnation of the worker
	 * @return the factor, 1 if the speed is not known
	 */
	double speed(WorkerIncarnation worker);

}
