package io.verbenatrack.scheduling.state;

/**
 * Learns of each change of a job's phase, to keep an index.
 */
@FunctionalInterface
public interface JobListener {

	/**
	 * The job changed.
	 * @param job the job after the change
	 */
	void jobChanged(JobRecord job);

}
