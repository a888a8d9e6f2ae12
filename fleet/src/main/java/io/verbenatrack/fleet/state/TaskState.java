package io.verbenatrack.fleet.state;

import java.util.Optional;

import io.verbenatrack.fleet.model.WorkerIncarnation;

/**
 * The state of a task.
 */
public final class TaskState {

	private boolean done;

	private int run;

	private int failures;

	private String checkpoint = "";

	private Optional<WorkerIncarnation> runningOn = Optional.empty();

	private boolean failedLast;

	private Optional<WorkerIncarnation> lastOn = Optional.empty();

	/**
	 * Returns whether a run of the task has completed.
	 * @return whether the task is done
	 */
	public boolean done() {
		return this.done;
	}

	/**
	 * Returns the number of the last run.
	 * @return the run number, 0 before the first run
	 */
	public int run() {
		return this.run;
	}

	/**
	 * Returns how often the task failed.
	 * @return the number of failed runs
	 */
	public int failures() {
		return this.failures;
	}

	/**
	 * Returns the checkpoint from which a later run can resume.
	 * @return the checkpoint, empty for none
	 */
	public String checkpoint() {
		return this.checkpoint;
	}

	/**
	 * Returns where the task runs, from the decision to start it until its end is
	 * recorded.
	 * @return the incarnation of the worker, or empty when the task is not running
	 */
	public Optional<WorkerIncarnation> runningOn() {
		return this.runningOn;
	}

	/**
	 * Returns where the last run failed.
	 * @return the incarnation of the worker, or empty when the last run did not fail
	 */
	public Optional<WorkerIncarnation> failedOn() {
		return this.failedLast ? this.lastOn : Optional.empty();
	}

	/**
	 * Returns whether the task waits for a start.
	 * @return whether the task is neither running nor done
	 */
	public boolean waiting() {
		return !this.done && this.runningOn.isEmpty();
	}

	boolean lastRan(int number, WorkerIncarnation incarnation) {
		return waiting() && this.run == number && this.lastOn.filter(incarnation::equals).isPresent();
	}

	void start(int number, WorkerIncarnation incarnation) {
		this.run = number;
		this.runningOn = Optional.of(incarnation);
		this.lastOn = this.runningOn;
		this.failedLast = false;
	}

	void end(boolean failed, boolean countFailure, String newCheckpoint) {
		this.runningOn = Optional.empty();
		this.failedLast = failed;
		if (countFailure) {
			this.failures++;
		}
		updateCheckpoint(newCheckpoint);
	}

	void updateCheckpoint(String newCheckpoint) {
		if (!newCheckpoint.isEmpty()) {
			this.checkpoint = newCheckpoint;
		}
	}

	void finish() {
		this.done = true;
		this.runningOn = Optional.empty();
	}

	TaskRecord toRecord() {
		return new TaskRecord(this.done, this.run, this.failures, this.checkpoint, this.runningOn, this.lastOn,
				this.failedLast);
	}

	static TaskState fromRecord(TaskRecord record) {
		TaskState state = new TaskState();
		state.done = record.done();
		state.run = record.run();
		state.failures = record.failures();
		state.checkpoint = record.checkpoint();
		state.runningOn = record.runningOn();
		state.lastOn = record.lastOn();
		state.failedLast = record.failedLast();
		return state;
	}

	/**
	 * The state of a task in a snapshot.
	 *
	 * @param done whether the task is done
	 * @param run the number of the last run
	 * @param failures the number of failed runs
	 * @param checkpoint the latest checkpoint, empty for none
	 * @param runningOn the incarnation of the worker that runs the task, if any
	 * @param lastOn the incarnation of the worker that ran the task last, if any
	 * @param failedLast whether the last run failed
	 */
	record TaskRecord(boolean done, int run, int failures, String checkpoint, Optional<WorkerIncarnation> runningOn,
			Optional<WorkerIncarnation> lastOn, boolean failedLast) {

	}

}
