package io.verbenatrack.fleet.model;

/**
 * The end of a run as its worker reports it.
 *
 * @param number the sequence number of the end within the incarnation of the worker, from
 * 1
 * @param task the task
 * @param run the run number
 * @param how the outcome
 * @param checkpoint the latest checkpoint, empty for none
 */
public record ReportedEnd(long number, TaskId task, int run, RunOutcome how, String checkpoint) {

}
