package io.verbenatrack.fleet.state;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.verbenatrack.fleet.model.ConfigurationIndex;
import io.verbenatrack.fleet.model.FleetConfiguration;
import io.verbenatrack.fleet.model.Queue;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.model.JobId;

/**
 * All that the fleet must not forget. Not safe for use by several threads at once.
 */
public final class FleetState {

	private final Map<JobId, JobState> jobs = new LinkedHashMap<>();

	private final Map<JobId, JobState> unfinished = new LinkedHashMap<>();

	private final Map<WorkerIncarnation, Map<TaskId, Integer>> runsByWorker = new HashMap<>();

	private Optional<ConfigurationIndex> configuration = Optional.empty();

	private byte[] document = new byte[0];

	private long term;

	private long sequence;

	/**
	 * Applies a batch of decisions, unless they were taken on another state than this.
	 * @param batch the batch
	 * @return whether it was applied
	 */
	public boolean apply(FleetBatch batch) {
		boolean continuesTerm = batch.term() == this.term && batch.sequence() == this.sequence + 1;
		boolean startsTerm = batch.term() > this.term && batch.sequence() == 1;
		if (!continuesTerm && !startsTerm) {
			return false;
		}
		this.term = batch.term();
		this.sequence = batch.sequence();
		batch.commands().forEach(this::apply);
		return true;
	}

	/**
	 * The last batch applied of a term.
	 * @param requestedTerm the term
	 * @return its sequence, 0 when none was applied
	 */
	public long lastSequence(long requestedTerm) {
		return (this.term == requestedTerm) ? this.sequence : 0;
	}

	private void apply(FleetCommand command) {
		switch (command) {
			case FleetCommand.AdoptConfiguration adopt -> adopt(adopt);
			case FleetCommand.AcceptJob accept -> accept(accept);
			case FleetCommand.CancelJob cancel -> job(cancel.job()).ifPresent((job) -> {
				job.cancel();
				this.unfinished.remove(job.job());
			});
			case FleetCommand.StartRun start -> start(start);
			case FleetCommand.EndRun end -> end(end);
			case FleetCommand.ForgetJobs forget -> forget.jobs().forEach(this.jobs::remove);
		}
	}

	private void accept(FleetCommand.AcceptJob accept) {
		if (!this.jobs.containsKey(accept.job())) {
			JobState job = new JobState(accept);
			this.jobs.put(accept.job(), job);
			this.unfinished.put(accept.job(), job);
		}
	}

	private void adopt(FleetCommand.AdoptConfiguration adopt) {
		if (adopt.configuration().version() > version()) {
			this.configuration = Optional.of(new ConfigurationIndex(adopt.configuration()));
			this.document = adopt.document();
		}
	}

	private void start(FleetCommand.StartRun start) {
		TaskId task = start.task();
		job(task.job()).ifPresent((job) -> {
			job.step(task.occurrence(), task.step()).tasks().get(task.index()).start(start.run(), start.life());
			job.markRunning();
			this.runsByWorker.computeIfAbsent(start.life(), (incarnation) -> new LinkedHashMap<>())
				.put(task, start.run());
		});
	}

	private void end(FleetCommand.EndRun end) {
		if (!isCurrentRun(end)) {
			return;
		}
		JobState job = this.jobs.get(end.task().job());
		StepState step = job.step(end.task().occurrence(), end.task().step());
		if (step.spec().gang() && end.how() == RunOutcome.DONE) {
			removeGangRuns(end.task(), step);
		}
		removeRun(end.task(), end.life());
		step.end(end.task().index(), end.how(), end.checkpoint());
		job.updatePhase(maxAttempts(job));
		if (job.phase().ended()) {
			this.unfinished.remove(job.job());
		}
	}

	private void removeGangRuns(TaskId member, StepState step) {
		for (int index = 0; index < step.tasks().size(); index++) {
			TaskId task = member.member(index);
			step.tasks().get(index).runningOn().ifPresent((incarnation) -> removeRun(task, incarnation));
		}
	}

	private void removeRun(TaskId task, WorkerIncarnation incarnation) {
		Map<TaskId, Integer> runsOfWorker = this.runsByWorker.get(incarnation);
		if (runsOfWorker != null && runsOfWorker.remove(task) != null && runsOfWorker.isEmpty()) {
			this.runsByWorker.remove(incarnation);
		}
	}

	/**
	 * Whether the run that ended is the task's present run.
	 * @param end the end
	 * @return whether taking note of it changes anything
	 */
	public boolean isCurrentRun(FleetCommand.EndRun end) {
		return step(end.task()).filter((step) -> step.isCurrentRun(end.task().index(), end.run(), end.life()))
			.isPresent();
	}

	/**
	 * Whether a run is its task's present one.
	 * @param task the task
	 * @param run the number of the run
	 * @return whether it was started and its end is not known yet
	 */
	public boolean isRunning(TaskId task, int run) {
		return step(task).map((step) -> step.tasks().get(task.index()))
			.filter((present) -> present.run() == run && present.runningOn().isPresent())
			.isPresent();
	}

	/**
	 * The step of a task.
	 * @param task the task
	 * @return its step, if there is such a job, occurrence and step
	 */
	public Optional<StepState> step(TaskId task) {
		return job(task.job()).filter((job) -> task.occurrence() < job.occurrences().size())
			.filter((job) -> task.step() < job.plan().steps().size())
			.map((job) -> job.step(task.occurrence(), task.step()));
	}

	private int maxAttempts(JobState job) {
		return queueOf(job).map(Queue::attempts).orElse(Integer.MAX_VALUE);
	}

	/**
	 * The queue of a job, as long as the configuration has it.
	 * @param job the job
	 * @return its queue
	 */
	public Optional<Queue> queueOf(JobState job) {
		return this.configuration.flatMap((known) -> known.queue(job.queue()));
	}

	/**
	 * The configuration in force.
	 * @return the configuration, empty before the first
	 */
	public Optional<ConfigurationIndex> configuration() {
		return this.configuration;
	}

	/**
	 * The version of the configuration in force.
	 * @return the version, less than any other before the first
	 */
	public long version() {
		return this.configuration.map((known) -> known.configuration().version()).orElse(Long.MIN_VALUE);
	}

	/**
	 * The configuration in force as its operator wrote it.
	 * @return the document, empty before the first
	 */
	public byte[] document() {
		return this.document;
	}

	/**
	 * A job.
	 * @param job its name
	 * @return the job, if it is known
	 */
	public Optional<JobState> job(JobId job) {
		return Optional.ofNullable(this.jobs.get(job));
	}

	/**
	 * The jobs that have not ended, in the order of their acceptance.
	 * @return the jobs
	 */
	public Collection<JobState> unfinishedJobs() {
		return this.unfinished.values();
	}

	/**
	 * What runs on one life of a worker, from the decision to start it until its end is
	 * known.
	 * @param incarnation the life
	 * @return the number of the run by task
	 */
	public Map<TaskId, Integer> runsOn(WorkerIncarnation incarnation) {
		return this.runsByWorker.getOrDefault(incarnation, Map.of());
	}

	/**
	 * All lives of workers that something runs on.
	 * @return the lives
	 */
	public Set<WorkerIncarnation> incarnationsInUse() {
		return this.runsByWorker.keySet();
	}

	FleetSnapshot snapshot() {
		return new FleetSnapshot(FleetSnapshot.FORMAT, this.term, this.sequence,
				this.configuration.map(ConfigurationIndex::configuration), this.document,
				this.jobs.values().stream().map(JobState::toRecord).toList());
	}

	void restore(FleetSnapshot snapshot) {
		this.term = snapshot.term();
		this.sequence = snapshot.sequence();
		this.configuration = snapshot.configuration().map(ConfigurationIndex::new);
		this.document = snapshot.document();
		this.jobs.clear();
		this.unfinished.clear();
		this.runsByWorker.clear();
		snapshot.jobs().forEach((record) -> restore(JobState.fromRecord(record)));
	}

	private void restore(JobState job) {
		this.jobs.put(job.job(), job);
		if (!job.phase().ended()) {
			this.unfinished.put(job.job(), job);
		}
		job.forEachTask((task, state) -> state.runningOn()
			.ifPresent((incarnation) -> this.runsByWorker.computeIfAbsent(incarnation, (key) -> new LinkedHashMap<>())
				.put(task, state.run())));
	}

	/**
	 * The state in a snapshot.
	 *
	 * @param format the version of this form
	 * @param term the term of the last batch
	 * @param sequence the last batch in its term
	 * @param configuration the configuration in force
	 * @param document the same as its operator wrote it
	 * @param jobs the jobs in the order of their acceptance
	 */
	record FleetSnapshot(int format, long term, long sequence, Optional<FleetConfiguration> configuration,
			byte[] document, List<JobState.JobRecord> jobs) {

		static final int FORMAT = 1;

	}

}
