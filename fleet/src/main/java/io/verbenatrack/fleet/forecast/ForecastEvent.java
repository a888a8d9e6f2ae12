package io.verbenatrack.fleet.forecast;

import io.verbenatrack.model.WorkerId;

/**
 * A change of what forecasts assume.
 */
public sealed interface ForecastEvent {

	/**
	 * The learned run times of a class come into use, or the callers' estimates again.
	 *
	 * @param runClass the class
	 * @param learned whether forecasts use the learned run times from now on
	 * @param samples the weight of the samples
	 * @param learnedError the mean absolute error of the logarithm of the learned run
	 * time
	 * @param callerError the mean absolute error of the logarithm of the caller's
	 * estimate
	 */
	record RunTimesSwitched(RunClass runClass, boolean learned, double samples, double learnedError,
			double callerError) implements ForecastEvent {

	}

	/**
	 * The speed of a worker has changed its class.
	 *
	 * @param worker the worker
	 * @param before its class of speed so far
	 * @param now its class of speed from now on
	 * @param percent its speed in percent of the median speed of the fleet
	 */
	record SpeedChanged(WorkerId worker, SpeedClass before, SpeedClass now, int percent) implements ForecastEvent {

	}

	/**
	 * Implausible values in reports were ignored.
	 *
	 * @param values the number since the last such event
	 * @param worker a worker that reported one
	 * @param example what was implausible
	 */
	record ValuesIgnored(long values, WorkerId worker, String example) implements ForecastEvent {

	}

}
