package io.verbenatrack.standin;

import java.time.Duration;

/**
 * Tells stand-ins how long the work truly takes.
 */
public interface WorkDurations {

	/**
	 * The true run time of a job from its very beginning.
	 * @param job the job
	 * @param declared the declared run time that is left
	 * @return the true run time
	 */
	Duration runTime(String job, Duration declared);

	/**
	 * How long a target works on a request.
	 * @param request the request
	 * @return the time
	 */
	Duration serviceTime(String request);

}
