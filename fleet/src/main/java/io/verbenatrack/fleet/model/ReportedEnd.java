package io.verbenatrack.fleet.model;

/**
 * A run that a worker says has ended.
 *
 * @param number the number of the end in this life of the worker, from 1
 * @param task the task
 * @param run the number of the run
 * @param how how it ended
 * @param checkpoint the newest checkpoint, empty for none
 */
public record ReportedEnd(long number, TaskId task, int run, RunOutcome how, String checkpoint) {

}
