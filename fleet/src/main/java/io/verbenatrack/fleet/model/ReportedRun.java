package io.verbenatrack.fleet.model;

/**
 * A run in progress as its worker reports it.
 *
 * @param task the task
 * @param run the run number
 * @param checkpoint the latest checkpoint, empty for none
 * @param percent the progress in percent, 0 to 100
 */
public record ReportedRun(TaskId task, int run, String checkpoint, int percent) {

}
