package io.verbenatrack.fleet.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.WorkerIncarnation;

/**
 * The state of a step of one occurrence.
 *
 * <p>
 * The members of a gang share their run number, checkpoint and failure count: a run in
 * which several members fail counts as one failure.
 */
public final class StepState {

	private final StepSpec spec;

	private final List<TaskState> tasks;

	private int failedRun;

	private int gangFailures;

	StepState(StepSpec spec) {
		this(spec, new ArrayList<>());
		for (int index = 0; index < spec.count(); index++) {
			this.tasks.add(new TaskState());
		}
	}

	private StepState(StepSpec spec, List<TaskState> tasks) {
		this.spec = spec;
		this.tasks = tasks;
	}

	// The state of a step of which no task has started. It must not be changed, as its
	// tasks share their state.
	static StepState pristine(StepSpec spec) {
		return new StepState(spec, Collections.nCopies(spec.count(), new TaskState()));
	}

	// The state of a step that is done. It must not be changed.
	static StepState finished(StepSpec spec) {
		TaskState task = new TaskState();
		task.finish();
		return new StepState(spec, Collections.nCopies(spec.count(), task));
	}

	boolean running() {
		return this.tasks.stream().anyMatch((task) -> task.runningOn().isPresent());
	}

	boolean isPristine() {
		return this.tasks.stream().allMatch((task) -> task.waiting() && task.run() == 0);
	}

	/**
	 * Returns the specification of the step.
	 * @return the specification
	 */
	public StepSpec spec() {
		return this.spec;
	}

	/**
	 * Returns the tasks of the step.
	 * @return the tasks by index
	 */
	public List<TaskState> tasks() {
		return this.tasks;
	}

	/**
	 * Returns whether every task is done.
	 * @return whether the step is done
	 */
	public boolean done() {
		return this.tasks.stream().allMatch(TaskState::done);
	}

	/**
	 * Returns whether the step is a gang of which some members run while others wait for
	 * a start.
	 * @return whether the current run of the gang can no longer succeed
	 */
	public boolean gangIncomplete() {
		return this.spec.gang() && this.tasks.stream().anyMatch(TaskState::waiting) && running();
	}

	/**
	 * Returns the number of the next run of a gang.
	 * @return a number higher than the run numbers of all members
	 */
	public int nextGangRun() {
		return this.tasks.stream().mapToInt(TaskState::run).max().orElse(0) + 1;
	}

	/**
	 * Returns the checkpoint from which all members of a gang start.
	 * @return the checkpoint, empty for none
	 */
	public String gangCheckpoint() {
		return this.tasks.getFirst().checkpoint();
	}

	/**
	 * Returns the number of failures of the gang, or, for a step without a gang, of the
	 * task that failed most often.
	 * @return the number of failed runs
	 */
	public int failures() {
		return this.spec.gang() ? this.gangFailures : this.tasks.stream().mapToInt(TaskState::failures).max().orElse(0);
	}

	boolean isCurrentRun(int index, int run, WorkerIncarnation incarnation) {
		if (index < 0 || index >= this.tasks.size()) {
			return false;
		}
		TaskState task = this.tasks.get(index);
		return task.run() == run && task.runningOn().filter(incarnation::equals).isPresent();
	}

	// Whether the run of a task was taken for lost, and no later one has started.
	boolean isLastRun(int index, int run, WorkerIncarnation incarnation) {
		return index >= 0 && index < this.tasks.size() && this.tasks.get(index).lastRan(run, incarnation);
	}

	void end(int index, RunOutcome how, String checkpoint) {
		TaskState task = this.tasks.get(index);
		boolean failed = how == RunOutcome.FAILED;
		if (how == RunOutcome.DONE && !this.spec.lasting()) {
			finish(task);
			return;
		}
		if (this.spec.gang()) {
			if (failed && this.failedRun != task.run()) {
				this.failedRun = task.run();
				this.gangFailures++;
			}
			this.tasks.forEach((member) -> member.updateCheckpoint(checkpoint));
		}
		task.end(failed, failed && !this.spec.lasting(), checkpoint);
	}

	private void finish(TaskState task) {
		if (this.spec.gang()) {
			this.tasks.forEach(TaskState::finish);
		}
		else {
			task.finish();
		}
	}

	StepRecord toRecord() {
		return new StepRecord(this.tasks.stream().map(TaskState::toRecord).toList(), this.failedRun, this.gangFailures);
	}

	static StepState fromRecord(StepSpec spec, StepRecord record) {
		StepState state = new StepState(spec,
				new ArrayList<>(record.tasks().stream().map(TaskState::fromRecord).toList()));
		state.failedRun = record.failedRun();
		state.gangFailures = record.gangFailures();
		return state;
	}

	/**
	 * The state of a step in a snapshot.
	 *
	 * @param tasks the tasks by index
	 * @param failedRun the number of the last failed run of the gang
	 * @param gangFailures the number of failed runs of the gang
	 */
	record StepRecord(List<TaskState.TaskRecord> tasks, int failedRun, int gangFailures) {

	}

}
