package io.verbenatrack.scheduling.state;

import java.util.ArrayDeque;
import java.util.Deque;

import io.verbenatrack.model.JobId;

/**
 * Remembers the order of ended jobs, so that the oldest can be forgotten.
 */
final class RetainedOutcomes {

	/** At 2,100 jobs a day this is 23 days. */
	static final int MAXIMUM_JOBS = 50_000;

	private final Deque<JobId> ended = new ArrayDeque<>();

	/**
	 * Adds an ended job.
	 * @param job the job
	 * @return the job to forget for it, or null while there is room
	 */
	JobId add(JobId job) {
		this.ended.addLast(job);
		return (this.ended.size() > MAXIMUM_JOBS) ? this.ended.removeFirst() : null;
	}

}
