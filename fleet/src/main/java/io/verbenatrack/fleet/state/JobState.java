package io.verbenatrack.fleet.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

import io.verbenatrack.fleet.model.JobPhase;
import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.JobId;

/**
 * The state of a job.
 */
public final class JobState {

	private final JobId job;

	private final String queue;

	private final AccountId account;

	private final JobPlan plan;

	private final long acceptedMillis;

	private final List<List<StepState>> occurrences;

	private JobPhase phase = JobPhase.PENDING;

	JobState(FleetCommand.AcceptJob accepted) {
		this(accepted.job(), accepted.queue(), accepted.account(), accepted.plan(), accepted.acceptedMillis(),
				new ArrayList<>());
		for (int occurrence = 0; occurrence < this.plan.occurrences(); occurrence++) {
			this.occurrences.add(this.plan.steps().stream().map(StepState::new).toList());
		}
	}

	private JobState(JobId job, String queue, AccountId account, JobPlan plan, long acceptedMillis,
			List<List<StepState>> occurrences) {
		this.job = job;
		this.queue = queue;
		this.account = account;
		this.plan = plan;
		this.acceptedMillis = acceptedMillis;
		this.occurrences = occurrences;
	}

	/**
	 * Returns the identifier of the job.
	 * @return the identifier
	 */
	public JobId job() {
		return this.job;
	}

	/**
	 * Returns the name of the queue.
	 * @return the name
	 */
	public String queue() {
		return this.queue;
	}

	/**
	 * Returns the client account on whose behalf the job runs.
	 * @return the account
	 */
	public AccountId account() {
		return this.account;
	}

	/**
	 * Returns the plan of the job.
	 * @return the plan
	 */
	public JobPlan plan() {
		return this.plan;
	}

	/**
	 * Returns when the job was accepted.
	 * @return the time in milliseconds since the epoch
	 */
	public long acceptedMillis() {
		return this.acceptedMillis;
	}

	/**
	 * Returns the phase of the job.
	 * @return the phase
	 */
	public JobPhase phase() {
		return this.phase;
	}

	/**
	 * Returns the steps of each occurrence.
	 * @return the steps, indexed by occurrence and then by step
	 */
	public List<List<StepState>> occurrences() {
		return this.occurrences;
	}

	/**
	 * Returns the state of a step.
	 * @param occurrence the index of the occurrence, from 0
	 * @param step the index of the step, from 0
	 * @return the state of the step
	 */
	public StepState step(int occurrence, int step) {
		return this.occurrences.get(occurrence).get(step);
	}

	// Workers report task numbers, so these may be out of range.
	Optional<StepState> stepOf(TaskId task) {
		if (!contains(this.occurrences, task.occurrence())) {
			return Optional.empty();
		}
		List<StepState> steps = this.occurrences.get(task.occurrence());
		return contains(steps, task.step())
				? Optional.of(steps.get(task.step())).filter((step) -> contains(step.tasks(), task.index()))
				: Optional.empty();
	}

	private static boolean contains(List<?> list, int index) {
		return index >= 0 && index < list.size();
	}

	/**
	 * Returns whether the steps that a step depends on are done.
	 * @param occurrence the index of the occurrence, from 0
	 * @param step the index of the step, from 0
	 * @return whether the tasks of the step may start
	 */
	public boolean dependenciesDone(int occurrence, int step) {
		StepSpec spec = this.plan.steps().get(step);
		return spec.after().stream().allMatch((dependency) -> step(occurrence, dependency).done());
	}

	/**
	 * Calls a visitor for every task.
	 * @param visitor accepts the identifier and the state of a task
	 */
	public void forEachTask(BiConsumer<TaskId, TaskState> visitor) {
		for (int occurrence = 0; occurrence < this.occurrences.size(); occurrence++) {
			for (int step = 0; step < this.plan.steps().size(); step++) {
				List<TaskState> tasks = step(occurrence, step).tasks();
				for (int index = 0; index < tasks.size(); index++) {
					visitor.accept(new TaskId(this.job, occurrence, step, index), tasks.get(index));
				}
			}
		}
	}

	void markRunning() {
		if (this.phase == JobPhase.PENDING) {
			this.phase = JobPhase.RUNNING;
		}
	}

	void cancel() {
		if (!this.phase.ended()) {
			this.phase = JobPhase.CANCELLED;
		}
	}

	void updatePhase(int maxAttempts) {
		if (this.phase.ended()) {
			return;
		}
		boolean failed = this.occurrences.stream()
			.flatMap(List::stream)
			.anyMatch((step) -> !step.done() && step.failures() >= maxAttempts);
		if (failed) {
			this.phase = JobPhase.FAILED;
		}
		else if (this.occurrences.stream().flatMap(List::stream).allMatch(StepState::done)) {
			this.phase = JobPhase.COMPLETED;
		}
	}

	JobRecord toRecord() {
		return new JobRecord(this.job, this.queue, this.account, this.plan, this.acceptedMillis, this.phase,
				this.occurrences.stream().map((steps) -> steps.stream().map(StepState::toRecord).toList()).toList());
	}

	static JobState fromRecord(JobRecord record) {
		List<List<StepState>> occurrences = new ArrayList<>();
		for (List<StepState.StepRecord> steps : record.occurrences()) {
			List<StepState> restored = new ArrayList<>();
			for (int step = 0; step < steps.size(); step++) {
				restored.add(StepState.fromRecord(record.plan().steps().get(step), steps.get(step)));
			}
			occurrences.add(restored);
		}
		JobState state = new JobState(record.job(), record.queue(), record.account(), record.plan(),
				record.acceptedMillis(), occurrences);
		state.phase = record.phase();
		return state;
	}

	/**
	 * The state of a job in a snapshot.
	 *
	 * @param job the identifier of the job
	 * @param queue the name of the queue
	 * @param account the client account
	 * @param plan the plan of the job
	 * @param acceptedMillis when the job was accepted, in milliseconds since the epoch
	 * @param phase the phase of the job
	 * @param occurrences the steps, indexed by occurrence and then by step
	 */
	record JobRecord(JobId job, String queue, AccountId account, JobPlan plan, long acceptedMillis, JobPhase phase,
			List<List<StepState.StepRecord>> occurrences) {

	}

}
