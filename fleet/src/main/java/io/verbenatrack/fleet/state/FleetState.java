package io.verbenatrack.fleet.state;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.verbenatrack.fleet.model.ConfigurationIndex;
import io.verbenatrack.fleet.model.FleetConfiguration;
import io.verbenatrack.fleet.model.Queue;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.ZoneId;

/**
 * The replicated state of the fleet: the jobs and the configuration. Not thread-safe.
 */
public final class FleetState {

	private final Map<JobId, JobState> jobs = new LinkedHashMap<>();

	private final Map<JobId, JobState> unfinished = new LinkedHashMap<>();

	private final WorkerRuns workerRuns = new WorkerRuns();

	private final Map<AccountId, Long> bytesByAccount = new HashMap<>();

	private final EvacuationState evacuations = new EvacuationState();

	private final Cancellations cancellations = new Cancellations();

	private final RunTimes runTimes = new RunTimes();

	private Optional<ConfigurationIndex> configuration = Optional.empty();

	private byte[] document = new byte[0];

	private long term;

	private long sequence;

	/**
	 * Applies a batch of decisions unless it was decided on a different state. A batch
	 * must follow the last one of its term, or be the first one of a later term.
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
	 * Returns the sequence number of the last batch applied.
	 * @param requestedTerm the term of the batch
	 * @return the sequence number, 0 when the last batch is of another term
	 */
	public long lastSequence(long requestedTerm) {
		return (this.term == requestedTerm) ? this.sequence : 0;
	}

	private void apply(FleetCommand command) {
		switch (command) {
			case FleetCommand.AdoptConfiguration adopt -> adopt(adopt);
			case FleetCommand.AcceptJob accept -> accept(accept);
			case FleetCommand.CancelJob cancel ->
				job(cancel.job()).ifPresent((job) -> changePhase(job, JobState::cancel));
			case FleetCommand.CancelUnknownJob cancel -> cancel(cancel.cancellation());
			case FleetCommand.StartRun start -> start(start);
			case FleetCommand.BeginJobs begin -> begin.jobs().forEach((id) -> job(id).ifPresent(JobState::markRunning));
			case FleetCommand.EndRun end -> end(end);
			case FleetCommand.ForgetJobs forget -> forget.jobs().forEach(this::forget);
			case FleetCommand.ForgetCancellations forget -> forget.cancellations().forEach(this.cancellations::remove);
			case FleetCommand.EvacuateZone evacuate -> this.evacuations.evacuate(evacuate.zone());
			case FleetCommand.WithdrawEvacuation withdraw -> this.evacuations.withdraw(withdraw.zone());
			case FleetCommand.RecordRunTimes record -> this.runTimes.record(record.classes(), record.speeds());
		}
	}

	private void accept(FleetCommand.AcceptJob accept) {
		boolean cancelled = this.cancellations.contains(new Cancellation(accept.account(), accept.job()));
		if (!cancelled && !this.jobs.containsKey(accept.job())) {
			JobState job = new JobState(accept);
			this.jobs.put(accept.job(), job);
			this.unfinished.put(accept.job(), job);
			addBytes(job.account(), job.estimatedBytes());
		}
	}

	private void cancel(Cancellation cancellation) {
		Optional<JobState> submitted = jobOf(cancellation);
		submitted.ifPresent((job) -> changePhase(job, JobState::cancel));
		if (submitted.isEmpty()) {
			this.cancellations.add(cancellation);
		}
	}

	private void addBytes(AccountId account, long bytes) {
		this.bytesByAccount.merge(account, bytes, Long::sum);
		this.bytesByAccount.remove(account, 0L);
	}

	private void forget(JobId id) {
		job(id).filter((job) -> job.phase().ended()).ifPresent((job) -> {
			this.jobs.remove(id);
			addBytes(job.account(), -job.estimatedBytes());
		});
	}

	private void adopt(FleetCommand.AdoptConfiguration adopt) {
		if (adopt.configuration().version() > version()) {
			this.configuration = Optional.of(new ConfigurationIndex(adopt.configuration()));
			this.document = adopt.document();
			List.copyOf(this.unfinished.values()).forEach(this::updatePhase);
		}
	}

	private void start(FleetCommand.StartRun start) {
		TaskId task = start.task();
		step(task).ifPresent((present) -> {
			JobState job = this.jobs.get(task.job());
			job.startTask(task, start.run(), start.life());
			this.workerRuns.add(start.life(), task, start.run());
			queueOf(job).ifPresent((queue) -> this.workerRuns.recordService(start.life(), queue.service()));
		});
	}

	private void end(FleetCommand.EndRun end) {
		if (!changesTask(end)) {
			return;
		}
		JobState job = this.jobs.get(end.task().job());
		StepState step = job.step(end.task().occurrence(), end.task().step());
		if (step.spec().gang() && end.how() == RunOutcome.DONE) {
			removeGangRuns(end.task(), step);
		}
		this.workerRuns.remove(end.life(), end.task());
		job.endTask(end.task(), end.how(), end.checkpoint());
		if (end.how().begun()) {
			job.markRunning();
		}
		updatePhase(job);
	}

	private void updatePhase(JobState job) {
		int maxAttempts = maxAttempts(job);
		changePhase(job, (changed) -> changed.updatePhase(maxAttempts));
	}

	private void changePhase(JobState job, Consumer<JobState> change) {
		if (job.phase().ended()) {
			return;
		}
		change.accept(job);
		if (job.phase().ended()) {
			this.unfinished.remove(job.job());
			addBytes(job.account(), JobFootprint.endedBytes(job.plan()) - JobFootprint.bytes(job.plan()));
		}
	}

	private void removeGangRuns(TaskId member, StepState step) {
		for (int index = 0; index < step.tasks().size(); index++) {
			TaskId task = member.member(index);
			step.tasks().get(index).runningOn().ifPresent((incarnation) -> this.workerRuns.remove(incarnation, task));
		}
	}

	/**
	 * Returns whether a command ends the current run of its task, or tells that a run
	 * which was taken for lost is done after all, before the task has started again.
	 * @param end the command
	 * @return whether applying the command changes the state
	 */
	public boolean changesTask(FleetCommand.EndRun end) {
		return isCurrentRun(end) || (end.how() == RunOutcome.DONE && step(end.task())
			.filter((step) -> !step.spec().lasting() && step.isLastRun(end.task().index(), end.run(), end.life()))
			.isPresent());
	}

	/**
	 * Returns whether a command ends the current run of its task.
	 * @param end the command
	 * @return whether the run was started there and its end is not recorded yet
	 */
	public boolean isCurrentRun(FleetCommand.EndRun end) {
		return step(end.task()).filter((step) -> step.isCurrentRun(end.task().index(), end.run(), end.life()))
			.isPresent();
	}

	/**
	 * Returns whether a run is the current one of its task.
	 * @param task the task
	 * @param run the run number
	 * @return whether the run was started and its end is not recorded yet
	 */
	public boolean isRunning(TaskId task, int run) {
		return step(task).map((step) -> step.tasks().get(task.index()))
			.filter((present) -> present.run() == run && present.runningOn().isPresent())
			.isPresent();
	}

	/**
	 * Returns the step of a task.
	 * @param task the task, whose numbers may be out of range
	 * @return the step, or empty when the job does not exist or has no such task
	 */
	public Optional<StepState> step(TaskId task) {
		return job(task.job()).flatMap((job) -> job.stepOf(task));
	}

	private int maxAttempts(JobState job) {
		return queueOf(job).map(Queue::attempts).orElse(Integer.MAX_VALUE);
	}

	/**
	 * Returns the queue of a job.
	 * @param job the job
	 * @return the queue, or empty when the configuration in force lacks it
	 */
	public Optional<Queue> queueOf(JobState job) {
		return this.configuration.flatMap((known) -> known.queue(job.queue()));
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or empty before the first one
	 */
	public Optional<ConfigurationIndex> configuration() {
		return this.configuration;
	}

	/**
	 * Returns the version of the configuration in force.
	 * @return the version, or {@link Long#MIN_VALUE} before the first configuration
	 */
	public long version() {
		return this.configuration.map((known) -> known.configuration().version()).orElse(Long.MIN_VALUE);
	}

	/**
	 * Returns the configuration in force as its operator wrote it.
	 * @return the document, empty before the first configuration
	 */
	public byte[] document() {
		return this.document;
	}

	/**
	 * Returns the availability zones that operators evacuate.
	 * @return a live view of the zones
	 */
	public EvacuationState evacuations() {
		return this.evacuations;
	}

	/**
	 * Returns the state of a job.
	 * @param job the job
	 * @return the state, or empty when the job is unknown
	 */
	public Optional<JobState> job(JobId job) {
		return Optional.ofNullable(this.jobs.get(job));
	}

	/**
	 * Returns the job that a cancellation concerns.
	 * @param cancellation the cancellation
	 * @return the state of the job, or empty when its account has submitted no such job
	 */
	public Optional<JobState> jobOf(Cancellation cancellation) {
		return job(cancellation.job()).filter((job) -> job.account().equals(cancellation.account()));
	}

	/**
	 * Returns the cancellations of jobs that were unknown.
	 * @return a live view
	 */
	public Cancellations cancellations() {
		return this.cancellations;
	}

	/**
	 * Returns the jobs that have not ended, in the order of their acceptance.
	 * @return a live view of the jobs
	 */
	public Collection<JobState> unfinishedJobs() {
		return this.unfinished.values();
	}

	/**
	 * Returns all jobs, in the order of their acceptance.
	 * @return a live view of the jobs
	 */
	public Collection<JobState> jobs() {
		return this.jobs.values();
	}

	/**
	 * Returns the memory that the jobs of each client account may take.
	 * @return a live view of the estimates in bytes
	 */
	public Map<AccountId, Long> bytesByAccount() {
		return this.bytesByAccount;
	}

	/**
	 * Returns the runs on an incarnation of a worker, from the decision to start them
	 * until their end is recorded.
	 * @param incarnation the incarnation
	 * @return the run numbers by task
	 */
	public Map<TaskId, Integer> runsOn(WorkerIncarnation incarnation) {
		return this.workerRuns.on(incarnation);
	}

	/**
	 * Returns all incarnations of workers with runs.
	 * @return a live view of the incarnations
	 */
	public Set<WorkerIncarnation> incarnationsInUse() {
		return this.workerRuns.incarnations();
	}

	/**
	 * Returns the service for which an incarnation of a worker runs tasks, whether or not
	 * the configuration in force has it.
	 * @param incarnation the incarnation
	 * @return the service, or empty if no run is on the incarnation, or if all of them
	 * come from a snapshot of format 3 or earlier
	 */
	public Optional<ServiceId> serviceOf(WorkerIncarnation incarnation) {
		return this.workerRuns.service(incarnation);
	}

	/**
	 * Returns whether the configuration in force has a service.
	 * @param service the service
	 * @return whether its workers may get new tasks
	 */
	public boolean hasService(ServiceId service) {
		return this.configuration.filter((known) -> known.hasService(service)).isPresent();
	}

	/**
	 * Returns the learned run times and worker speeds that are recorded.
	 * @return a live view
	 */
	public RunTimes runTimes() {
		return this.runTimes;
	}

	FleetSnapshot snapshot() {
		return new FleetSnapshot(FleetSnapshot.FORMAT, this.term, this.sequence,
				this.configuration.map(ConfigurationIndex::configuration), this.document,
				this.jobs.values().stream().map(JobState::toRecord).toList(), List.copyOf(this.evacuations.evacuated()),
				List.copyOf(this.evacuations.withdrawn()), this.runTimes.toRecord(), this.workerRuns.serviceRecords(),
				List.copyOf(this.cancellations.all()));
	}

	void restore(FleetSnapshot snapshot) {
		this.term = snapshot.term();
		this.sequence = snapshot.sequence();
		this.configuration = snapshot.configuration().map(ConfigurationIndex::new);
		this.document = snapshot.document();
		this.jobs.clear();
		this.unfinished.clear();
		this.workerRuns.clear();
		this.bytesByAccount.clear();
		this.evacuations.restore(snapshot.evacuatedZones(), snapshot.withdrawnZones());
		snapshot.jobs().forEach((record) -> restore(JobState.fromRecord(record)));
		snapshot.workerServices().forEach((record) -> this.workerRuns.recordService(record.life(), record.service()));
		this.runTimes.restore(snapshot.runTimes());
		this.cancellations.restore(snapshot.cancellations());
	}

	private void restore(JobState job) {
		this.jobs.put(job.job(), job);
		if (!job.phase().ended()) {
			this.unfinished.put(job.job(), job);
		}
		addBytes(job.account(), job.estimatedBytes());
		job.forEachBegunTask((task, state) -> state.runningOn()
			.ifPresent((incarnation) -> this.workerRuns.add(incarnation, task, state.run())));
	}

	/**
	 * The content of a snapshot.
	 *
	 * @param format the version of the snapshot format
	 * @param term the term of the last batch
	 * @param sequence the sequence number of the last batch in its term
	 * @param configuration the configuration in force
	 * @param document the configuration as its operator wrote it
	 * @param jobs the jobs in the order of their acceptance
	 * @param evacuatedZones the evacuated availability zones, none before format 3
	 * @param withdrawnZones the availability zones whose evacuation was withdrawn last,
	 * none before format 3
	 * @param runTimes the learned run times and worker speeds; absent before format 3
	 * @param workerServices the services of the workers with runs, none before format 4
	 * @param cancellations the cancellations of jobs that were unknown, none before
	 * format 4
	 */
	record FleetSnapshot(int format, long term, long sequence, Optional<FleetConfiguration> configuration,
			byte[] document, List<JobState.JobRecord> jobs, List<ZoneId> evacuatedZones, List<ZoneId> withdrawnZones,
			RunTimes.RunTimesRecord runTimes, List<WorkerRuns.WorkerService> workerServices,
			List<Cancellation> cancellations) {

		static final int FORMAT = 4;

		/** Snapshots of format 1 hold the state of every occurrence. */
		static final int OLDEST_FORMAT = 1;

		FleetSnapshot {
			evacuatedZones = (evacuatedZones != null) ? List.copyOf(evacuatedZones) : List.of();
			withdrawnZones = (withdrawnZones != null) ? List.copyOf(withdrawnZones) : List.of();
			runTimes = (runTimes != null) ? runTimes : RunTimes.RunTimesRecord.NONE;
			workerServices = (workerServices != null) ? List.copyOf(workerServices) : List.of();
			cancellations = (cancellations != null) ? List.copyOf(cancellations) : List.of();
		}

	}

}
