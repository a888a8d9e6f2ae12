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

	private final Map<JobId, JobState> open = new LinkedHashMap<>();

	private final Map<WorkerIncarnation, Map<TaskId, Integer>> runs = new HashMap<>();

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
		boolean follows = batch.term() == this.term && batch.sequence() == this.sequence + 1;
		boolean begins = batch.term() > this.term && batch.sequence() == 1;
		if (!follows && !begins) {
			return false;
		}
		this.term = batch.term();
		this.sequence = batch.sequence();
		batch.commands().forEach(this::apply);
		return true;
	}

	/**
	 * The last batch applied of a term.
	 * @param ofTerm the term
	 * @return its sequence, 0 when none was applied
	 */
	public long sequenceIn(long ofTerm) {
		return (this.term == ofTerm) ? this.sequence : 0;
	}

	private void apply(FleetCommand command) {
		switch (command) {
			case FleetCommand.AdoptConfiguration adopt -> adopt(adopt);
			case FleetCommand.AcceptJob accept -> accept(accept);
			case FleetCommand.CancelJob cancel -> job(cancel.job()).ifPresent((job) -> {
				job.cancel();
				this.open.remove(job.job());
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
			this.open.put(accept.job(), job);
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
			job.begin();
			this.runs.computeIfAbsent(start.life(), (life) -> new LinkedHashMap<>()).put(task, start.run());
		});
	}

	private void end(FleetCommand.EndRun end) {
		if (!runs(end)) {
			return;
		}
		JobState job = this.jobs.get(end.task().job());
		StepState step = job.step(end.task().occurrence(), end.task().step());
		if (step.spec().gang() && end.how() == RunOutcome.DONE) {
			dropRuns(end.task(), step);
		}
		dropRun(end.task(), end.life());
		step.end(end.task().index(), end.how(), end.checkpoint());
		job.settle(attempts(job));
		if (job.phase().ended()) {
			this.open.remove(job.job());
		}
	}

	private void dropRuns(TaskId member, StepState step) {
		for (int index = 0; index < step.tasks().size(); index++) {
			TaskId task = member.member(index);
			step.tasks().get(index).runningOn().ifPresent((life) -> dropRun(task, life));
		}
	}

	private void dropRun(TaskId task, WorkerIncarnation life) {
		Map<TaskId, Integer> onLife = this.runs.get(life);
		if (onLife != null && onLife.remove(task) != null && onLife.isEmpty()) {
			this.runs.remove(life);
		}
	}

	/**
	 * Whether the run that ended is the task's present run.
	 * @param end the end
	 * @return whether taking note of it changes anything
	 */
	public boolean runs(FleetCommand.EndRun end) {
		return step(end.task()).filter((step) -> step.runs(end.task().index(), end.run(), end.life())).isPresent();
	}

	/**
	 * Whether a run is its task's present one.
	 * @param task the task
	 * @param run the number of the run
	 * @return whether it was started and its end is not known yet
	 */
	public boolean underWay(TaskId task, int run) {
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

	private int attempts(JobState job) {
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
	public Collection<JobState> openJobs() {
		return this.open.values();
	}

	/**
	 * What runs on one life of a worker, from the decision to start it until its end is
	 * known.
	 * @param life the life
	 * @return the number of the run by task
	 */
	public Map<TaskId, Integer> runsOn(WorkerIncarnation life) {
		return this.runs.getOrDefault(life, Map.of());
	}

	/**
	 * All lives of workers that something runs on.
	 * @return the lives
	 */
	public Set<WorkerIncarnation> livesInUse() {
		return this.runs.keySet();
	}

	FleetSnapshot snapshot() {
		return new FleetSnapshot(FleetSnapshot.FORMAT, this.term, this.sequence,
				this.configuration.map(ConfigurationIndex::configuration), this.document,
				this.jobs.values().stream().map(JobState::record).toList());
	}

	void restore(FleetSnapshot snapshot) {
		this.term = snapshot.term();
		this.sequence = snapshot.sequence();
		this.configuration = snapshot.configuration().map(ConfigurationIndex::new);
		this.document = snapshot.document();
		this.jobs.clear();
		this.open.clear();
		this.runs.clear();
		snapshot.jobs().forEach((record) -> restore(JobState.of(record)));
	}

	private void restore(JobState job) {
		this.jobs.put(job.job(), job);
		if (!job.phase().ended()) {
			this.open.put(job.job(), job);
		}
		job.forEachTask((task, state) -> state.runningOn()
			.ifPresent((life) -> this.runs.computeIfAbsent(life, (unused) -> new LinkedHashMap<>())
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
