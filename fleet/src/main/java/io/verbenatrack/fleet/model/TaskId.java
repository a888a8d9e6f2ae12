package io.verbenatrack.fleet.model;

import io.verbenatrack.model.JobId;

/**
 * Names a task.
 *
 * @param job its job
 * @param occurrence the occurrence of the job, from 0
 * @param step the step, from 0
 * @param index the task in its step, from 0
 */
public record TaskId(JobId job, int occurrence, int step, int index) {

	/**
	 * Another task of the same step.
	 * @param member its index, from 0
	 * @return its name
	 */
	public TaskId member(int member) {
		return new TaskId(this.job, this.occurrence, this.step, member);
	}

}
