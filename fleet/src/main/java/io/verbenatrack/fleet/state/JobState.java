package io.verbenatrack.fleet.state;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;

import io.verbenatrack.fleet.model.JobPhase;
import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.JobId;

/**
 * The state of a job.
 *
 * <p>
 * Only an occurrence of which a task has started, and that is not done, has a state of
 * its own. Any other is told by its number, so that a long schedule takes no more memory
 * than a job that runs once.
 */
public final class JobState {

	private final JobId job;

	private final String queue;

	private final AccountId account;

	private final JobPlan plan;

	private final long acceptedMillis;

	private final List<StepState> pristineSteps;

	private final List<StepState> doneSteps;

	private final Map<Integer, List<StepState>> begun = new TreeMap<>();

	private final BitSet done = new BitSet();

	private JobPhase phase = JobPhase.PENDING;

	JobState(FleetCommand.AcceptJob accepted) {
		this(accepted.job(), accepted.queue(), accepted.account(), accepted.plan(), accepted.acceptedMillis());
	}

	private JobState(JobId job, String queue, AccountId account, JobPlan plan, long acceptedMillis) {
		this.job = job;
		this.queue = queue;
		this.account = account;
		this.plan = plan;
		this.acceptedMillis = acceptedMillis;
		this.pristineSteps = plan.steps().stream().map(StepState::pristine).toList();
		this.doneSteps = plan.steps().stream().map(StepState::finished).toList();
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
	 * Returns the first occurrence from a number on that is not done.
	 * @param from the index to begin with
	 * @return the index of the occurrence, or at least the number of occurrences if all
	 * of them are done
	 */
	public int nextOpenOccurrence(int from) {
		return this.done.nextClearBit(from);
	}

	/**
	 * Returns the state of a step.
	 * @param occurrence the index of the occurrence, from 0
	 * @param step the index of the step, from 0
	 * @return the state of the step, which must not be kept; once the occurrence is done,
	 * it does not tell the runs
	 */
	public StepState step(int occurrence, int step) {
		List<StepState> steps = this.begun.get(occurrence);
		if (steps != null) {
			return steps.get(step);
		}
		return (this.done.get(occurrence) ? this.doneSteps : this.pristineSteps).get(step);
	}

	// Workers report task numbers, so these may be out of range.
	Optional<StepState> stepOf(TaskId task) {
		boolean exists = isIndex(task.occurrence(), this.plan.occurrences())
				&& isIndex(task.step(), this.plan.steps().size())
				&& isIndex(task.index(), this.plan.steps().get(task.step()).count());
		return exists ? Optional.of(step(task.occurrence(), task.step())) : Optional.empty();
	}

	private static boolean isIndex(int index, int count) {
		return index >= 0 && index < count;
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
	 * Calls a visitor for every task of the occurrences that have begun and are not done.
	 * @param visitor accepts the identifier and the state of a task
	 */
	public void forEachBegunTask(BiConsumer<TaskId, TaskState> visitor) {
		this.begun.forEach((occurrence, steps) -> {
			for (int step = 0; step < steps.size(); step++) {
				List<TaskState> tasks = steps.get(step).tasks();
				for (int index = 0; index < tasks.size(); index++) {
					visitor.accept(new TaskId(this.job, occurrence, step, index), tasks.get(index));
				}
			}
		});
	}

	/**
	 * Returns the memory that the state may take: until the job ends, or once it has
	 * ended.
	 * @return an estimate in bytes
	 */
	public long estimatedBytes() {
		return this.phase.ended() ? JobFootprint.endedBytes(this.plan) : JobFootprint.bytes(this.plan);
	}

	void startTask(TaskId task, int run, WorkerIncarnation incarnation) {
		this.begun
			.computeIfAbsent(task.occurrence(), (occurrence) -> this.plan.steps().stream().map(StepState::new).toList())
			.get(task.step())
			.tasks()
			.get(task.index())
			.start(run, incarnation);
	}

	void endTask(TaskId task, RunOutcome how, String checkpoint) {
		step(task.occurrence(), task.step()).end(task.index(), how, checkpoint);
		List<StepState> steps = this.begun.get(task.occurrence());
		if (steps != null && steps.stream().allMatch(StepState::done)) {
			this.begun.remove(task.occurrence());
			this.done.set(task.occurrence());
		}
		releaseEnded();
	}

	// Workers stop the runs of a job that has ended; until then their ends are recorded.
	private void releaseEnded() {
		if (this.phase.ended() && this.begun.values().stream().flatMap(List::stream).noneMatch(StepState::running)) {
			this.begun.clear();
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
			releaseEnded();
		}
	}

	void updatePhase(int maxAttempts) {
		if (this.phase.ended()) {
			return;
		}
		boolean failed = this.begun.values()
			.stream()
			.flatMap(List::stream)
			.anyMatch((step) -> !step.done() && step.failures() >= maxAttempts);
		if (failed) {
			this.phase = JobPhase.FAILED;
		}
		else if (nextOpenOccurrence(0) >= this.plan.occurrences()) {
			this.phase = JobPhase.COMPLETED;
		}
		releaseEnded();
	}

	JobRecord toRecord() {
		List<OccurrenceRecord> records = new ArrayList<>();
		this.begun.forEach((occurrence, steps) -> records
			.add(new OccurrenceRecord(occurrence, steps.stream().map(StepState::toRecord).toList())));
		return new JobRecord(this.job, this.queue, this.account, this.plan, this.acceptedMillis, this.phase, List.of(),
				records, doneRanges());
	}

	private List<Integer> doneRanges() {
		List<Integer> ranges = new ArrayList<>();
		for (int from = this.done.nextSetBit(0); from >= 0; from = this.done.nextSetBit(ranges.getLast())) {
			ranges.add(from);
			ranges.add(this.done.nextClearBit(from));
		}
		return ranges;
	}

	static JobState fromRecord(JobRecord record) {
		JobState state = new JobState(record.job(), record.queue(), record.account(), record.plan(),
				record.acceptedMillis());
		state.phase = record.phase();
		for (int occurrence = 0; occurrence < record.occurrences().size(); occurrence++) {
			state.restoreFormat1(occurrence, state.restored(record.occurrences().get(occurrence)));
		}
		record.begun().forEach((begun) -> state.begun.put(begun.occurrence(), state.restored(begun.steps())));
		for (int range = 0; range < record.doneRanges().size(); range += 2) {
			state.done.set(record.doneRanges().get(range), record.doneRanges().get(range + 1));
		}
		return state;
	}

	private void restoreFormat1(int occurrence, List<StepState> steps) {
		if (steps.stream().allMatch(StepState::done)) {
			this.done.set(occurrence);
		}
		else if (!steps.stream().allMatch(StepState::isPristine)) {
			this.begun.put(occurrence, steps);
		}
	}

	private List<StepState> restored(List<StepState.StepRecord> records) {
		List<StepState> steps = new ArrayList<>();
		for (int step = 0; step < records.size(); step++) {
			steps.add(StepState.fromRecord(this.plan.steps().get(step), records.get(step)));
		}
		return steps;
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
	 * @param occurrences the steps, indexed by occurrence and then by step; only in
	 * format 1, empty since
	 * @param begun the occurrences that have begun and are not done
	 * @param doneRanges the occurrences that are done: by turns the first one of a range
	 * and the first one after it
	 */
	record JobRecord(JobId job, String queue, AccountId account, JobPlan plan, long acceptedMillis, JobPhase phase,
			List<List<StepState.StepRecord>> occurrences, List<OccurrenceRecord> begun, List<Integer> doneRanges) {

		JobRecord {
			begun = (begun != null) ? begun : List.of();
			doneRanges = (doneRanges != null) ? doneRanges : List.of();
		}

	}

	/**
	 * The state of an occurrence in a snapshot.
	 *
	 * @param occurrence the index of the occurrence
	 * @param steps the steps by index
	 */
	record OccurrenceRecord(int occurrence, List<StepState.StepRecord> steps) {

	}

}
