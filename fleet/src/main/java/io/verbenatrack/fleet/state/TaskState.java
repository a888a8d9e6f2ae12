package io.verbenatrack.fleet.state;

import java.util.Optional;

import io.verbenatrack.fleet.model.WorkerIncarnation;

/**
 * How far a task is.
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
	 * Whether it ended as done.
	 * @return whether nothing is left to do
	 */
	public boolean done() {
		return this.done;
	}

	/**
	 * The number of its last run.
	 * @return the number, 0 before the first run
	 */
	public int run() {
		return this.run;
	}

	/**
	 * How often it failed.
	 * @return the number of failed runs
	 */
	public int failures() {
		return this.failures;
	}

	/**
	 * Where a later run may go on.
	 * @return the checkpoint, empty for none
	 */
	public String checkpoint() {
		return this.checkpoint;
	}

	/**
	 * Where it runs, from the decision to start it until its end is known.
	 * @return the worker, if it runs
	 */
	public Optional<WorkerIncarnation> runningOn() {
		return this.runningOn;
	}

	/**
	 * Where its last run failed.
	 * @return the worker, if the last run failed
	 */
	public Optional<WorkerIncarnation> failedOn() {
		return this.failedLast ? this.lastOn : Optional.empty();
	}

	/**
	 * Whether it waits for a start.
	 * @return whether it is neither running nor done
	 */
	public boolean waiting() {
		return !this.done && this.runningOn.isEmpty();
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
	 * @param done whether it is done
	 * @param run its last run
	 * @param failures how often it failed
	 * @param checkpoint its checkpoint
	 * @param runningOn where it runs
	 * @param lastOn where it ran last
	 * @param failedLast whether the last run failed
	 */
	record TaskRecord(boolean done, int run, int failures, String checkpoint, Optional<WorkerIncarnation> runningOn,
			Optional<WorkerIncarnation> lastOn, boolean failedLast) {

	}

}
