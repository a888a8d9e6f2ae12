package io.verbenatrack.standin;

import java.time.Duration;

/**
 * The actual durations of the work that stand-ins simulate.
 */
public interface WorkDurations {

	/**
	 * Returns the actual run time of a job, measured from its first start.
	 * @param job the identifier of the job
	 * @param declared the remaining declared run time
	 * @return the actual run time
	 */
	Duration runTime(String job, Duration declared);

	/**
	 * Returns how long a target takes to process a request.
	 * @param request the identifier of the request
	 * @return the service time
	 */
	Duration serviceTime(String request);

}
