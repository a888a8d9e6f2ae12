package io.verbenatrack.fleet.model;

import io.verbenatrack.model.JobId;

/**
 * Identifies a task.
 *
 * @param job the job
 * @param occurrence the index of the occurrence, from 0
 * @param step the index of the step, from 0
 * @param index the index of the task within its step, from 0
 */
public record TaskId(JobId job, int occurrence, int step, int index) {

	/**
	 * Returns the identifier of a task of the same step.
	 * @param member the index of the task, from 0
	 * @return the identifier
	 */
	public TaskId member(int member) {
		return new TaskId(this.job, this.occurrence, this.step, member);
	}

}
