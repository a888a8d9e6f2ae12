package io.verbenatrack.fleet.forecast;

/**
 * The quantile of the distribution of run times that a forecast gives.
 */
public enum Quantile {

	/** Half of the runs take no longer. Used to rank steps. */
	MEDIAN,

	/**
	 * Nine runs in ten take no longer. Used where an underestimate would delay another
	 * step.
	 */
	CAUTIOUS

}
