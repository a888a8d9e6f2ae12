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

}
