package io.verbenatrack.fleet.state;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

import io.verbenatrack.fleet.model.JobPhase;
import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.JobId;

/**
 * How far a job is.
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
	 * Its name.
	 * @return the job
	 */
	public JobId job() {
		return this.job;
	}

	/**
	 * The name of its queue.
	 * @return the queue
	 */
	public String queue() {
		return this.queue;
	}

	/**
	 * The client account that it runs for.
	 * @return the account
	 */
	public AccountId account() {
		return this.account;
	}

	/**
	 * What it runs.
	 * @return the plan
	 */
	public JobPlan plan() {
		return this.plan;
	}

	/**
	 * When it was accepted.
	 * @return milliseconds since 1970
	 */
	public long acceptedMillis() {
		return this.acceptedMillis;
	}

	/**
	 * How far it is.
	 * @return the phase
	 */
	public JobPhase phase() {
		return this.phase;
	}

	/**
	 * The steps of each occurrence.
	 * @return the steps, first by occurrence, then by number
	 */
	public List<List<StepState>> occurrences() {
		return this.occurrences;
	}

	/**
	 * One step.
	 * @param occurrence the occurrence, from 0
	 * @param step the step, from 0
	 * @return the step
	 */
	public StepState step(int occurrence, int step) {
		return this.occurrences.get(occurrence).get(step);
	}

	/**
	 * Whether the steps that a step waits for are done.
	 * @param occurrence the occurrence
	 * @param step the step
	 * @return whether its tasks may start
	 */
	public boolean dependenciesDone(int occurrence, int step) {
		StepSpec spec = this.plan.steps().get(step);
		return spec.after().stream().allMatch((dependency) -> step(occurrence, dependency).done());
	}

	/**
	 * Visits every task.
	 * @param visitor takes the name and state of each
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
	 * @param job its name
	 * @param queue its queue
	 * @param account its client account
	 * @param plan what it runs
	 * @param acceptedMillis when it was accepted, in milliseconds since 1970
	 * @param phase how far it is
	 * @param occurrences the steps of each occurrence
	 */
	record JobRecord(JobId job, String queue, AccountId account, JobPlan plan, long acceptedMillis, JobPhase phase,
			List<List<StepState.StepRecord>> occurrences) {

	}

}
