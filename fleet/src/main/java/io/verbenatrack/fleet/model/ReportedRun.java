package io.verbenatrack.fleet.model;

/**
 * A run that a worker says is under way.
 *
 * @param task the task
 * @param run the number of the run
 * @param checkpoint the newest checkpoint, empty for none
 * @param percent how far it is, 0 to 100
 */
public record ReportedRun(TaskId task, int run, String checkpoint, int percent) {

}
