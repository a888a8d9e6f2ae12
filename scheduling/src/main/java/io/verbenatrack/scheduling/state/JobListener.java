package io.verbenatrack.scheduling.state;

/**
 * Receives each change of a job's state, to maintain an index.
 */
@FunctionalInterface
public interface JobListener {

	/**
	 * Called after a job changed.
	 * @param job the job after the change
	 */
	void jobChanged(JobRecord job);

}
