package io.verbenatrack.fleet.state;

import java.util.ArrayList;
import java.util.List;

import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.WorkerIncarnation;

/**
 * How far a step of one occurrence is.
 *
 * <p>
 * The members of a gang share the number of their run, their checkpoint and their
 * failures: a run in which members failed counts once.
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

	/**
	 * What the step asks for.
	 * @return its specification
	 */
	public StepSpec spec() {
		return this.spec;
	}

	/**
	 * Its tasks by index.
	 * @return the tasks
	 */
	public List<TaskState> tasks() {
		return this.tasks;
	}

	/**
	 * Whether every task is done.
	 * @return whether nothing is left to do
	 */
	public boolean done() {
		return this.tasks.stream().allMatch(TaskState::done);
	}

	/**
	 * Whether it is a gang of which some members run and others wait for a start.
	 * @return whether its present run cannot succeed any more
	 */
	public boolean gangIncomplete() {
		return this.spec.gang() && this.tasks.stream().anyMatch(TaskState::waiting)
				&& this.tasks.stream().anyMatch((task) -> task.runningOn().isPresent());
	}

	/**
	 * The number that a gang's next run gets.
	 * @return a number higher than that of any member's run
	 */
	public int nextGangRun() {
		return this.tasks.stream().mapToInt(TaskState::run).max().orElse(0) + 1;
	}

	/**
	 * The checkpoint that all members of a gang start from.
	 * @return the checkpoint, empty for none
	 */
	public String gangCheckpoint() {
		return this.tasks.getFirst().checkpoint();
	}

	/**
	 * How often the step's task that failed most, or its gang, failed.
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
	 * @param tasks its tasks by index
	 * @param failedRun the last run of the gang that failed
	 * @param gangFailures how often the gang failed
	 */
	record StepRecord(List<TaskState.TaskRecord> tasks, int failedRun, int gangFailures) {

	}

}
