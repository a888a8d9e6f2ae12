package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.verbenatrack.fleet.forecast.Quantile;
import io.verbenatrack.fleet.model.HeartbeatResponse;
import io.verbenatrack.fleet.model.JobPhase;
import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.fleet.state.JobState;
import io.verbenatrack.fleet.state.StepState;
import io.verbenatrack.fleet.state.TaskState;
import io.verbenatrack.model.GrantedTime;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.WorkerId;

/**
 * Schedules the fleet during one term of a leader. Instructions to workers are derived
 * only from the committed state, so that every run that starts is known to later leaders.
 */
public final class FleetScheduler {

	/**
	 * A run that is to stop counts as lost after this many reports without it; until then
	 * its start may still be in transit.
	 */
	private static final int MAX_MISSING_REPORTS = 3;

	/**
	 * A worker lists at most this many ends at once. A run that such a full list lacks
	 * may have ended all the same.
	 */
	private static final int MAX_LISTED_ENDS = 500;

	private final FleetState state;

	private final FleetTimings timings;

	private final WorkerRegistry registry;

	private final long term;

	private final long startNanos;

	private final List<FleetEvent> events = new ArrayList<>();

	private final StalledRunMover runMover;

	private final WorkerAvailability availability;

	private final FleetMembership membership;

	private final PlacementHistory placementHistory;

	private final JobRetention retention;

	private final CancellationRetention cancellationRetention;

	private final RunLearning learning;

	/**
	 * Starts that no response has carried yet, so that their workers do not know of them.
	 */
	private final Map<TaskId, Integer> unsentStarts = new HashMap<>();

	/** Jobs that are pending until the command is applied that records their begin. */
	private final Set<JobId> beginning = new HashSet<>();

	/** The runs that earlier leaders started. */
	private final Map<TaskId, Integer> inheritedRuns = new HashMap<>();

	/** Until then a report may have been sent before the start of an inherited run. */
	private final long earlierReportsEndNanos;

	private Set<TaskId> preempted = Set.of();

	/**
	 * Creates the scheduler for a term.
	 * @param state the replicated state, which must not change during a decision
	 * @param timings the timing parameters
	 * @param term the term, which is the fencing token of all responses
	 * @param now the start of the term
	 */
	public FleetScheduler(FleetState state, FleetTimings timings, long term, GrantedTime now) {
		this(state, timings, new RunLearning(state, timings, now), term, now);
	}

	FleetScheduler(FleetState state, FleetTimings timings, RunLearning learning, long term, GrantedTime now) {
		this.state = state;
		this.timings = timings;
		this.term = term;
		this.startNanos = now.nanos();
		this.registry = new WorkerRegistry(now.nanos(), timings);
		this.availability = new WorkerAvailability(state, this.registry);
		this.membership = new FleetMembership(state, this.registry);
		this.learning = learning;
		this.runMover = new StalledRunMover(state, this.registry, this.learning.forecast());
		this.placementHistory = new PlacementHistory(this.runMover);
		this.retention = new JobRetention(timings.endedJobRetention(), now.nanos());
		this.cancellationRetention = new CancellationRetention(timings.endedJobRetention(), now.nanos());
		this.earlierReportsEndNanos = now.nanos() + timings.maxLeaseNanos();
		state.incarnationsInUse().forEach((incarnation) -> this.inheritedRuns.putAll(state.runsOn(incarnation)));
	}

	/**
	 * Processes a heartbeat.
	 * @param report the report of the worker
	 * @param arrived the time of arrival
	 * @return the commands to commit before {@link #respond responding}, or empty when
	 * the report is not followed
	 */
	public Optional<List<FleetCommand>> receiveReport(WorkerReport report, GrantedTime arrived) {
		if (this.state.configuration().isEmpty()) {
			return Optional.empty();
		}
		long nowNanos = arrived.nanos();
		Optional<TrackedWorker> before = this.registry.worker(report.life());
		boolean wasDraining = before.filter((worker) -> worker.report().draining()).isPresent();
		ReportDecision decision = this.membership.includes(report)
				? this.registry.update(report, this.state.incarnationsInUse(), nowNanos)
				: new ReportDecision.Ignored(IgnoreReason.UNKNOWN_SERVICE);
		return switch (decision) {
			case ReportDecision.Ignored ignored -> {
				boolean repeated = ignored.reason() == IgnoreReason.UNKNOWN_SERVICE
						&& !this.membership.recordOutsider(report);
				this.events.add(new FleetEvent.ReportIgnored(report, ignored.reason(), repeated));
				yield Optional.empty();
			}
			case ReportDecision.Followed followed -> {
				if (before.isEmpty()) {
					this.events.add(new FleetEvent.WorkerJoined(report));
				}
				if (report.draining() && !wasDraining) {
					this.events.add(new FleetEvent.WorkerDraining(report.life(), report.running().size()));
				}
				if (listsRunOfThisTerm(report)) {
					followed.worker().confirm();
				}
				this.learning.observe(report, nowNanos);
				this.events.addAll(this.runMover.inspect(followed.worker(), nowNanos));
				yield Optional.of(recordRunEnds(followed.worker(), report, nowNanos));
			}
		};
	}

	private boolean listsRunOfThisTerm(WorkerReport report) {
		Map<TaskId, Integer> known = this.state.runsOn(report.life());
		return report.running().stream().anyMatch((run) -> startedInThisTerm(known, run.task(), run.run()))
				|| report.ended().stream().anyMatch((end) -> startedInThisTerm(known, end.task(), end.run()));
	}

	private boolean startedInThisTerm(Map<TaskId, Integer> known, TaskId task, int run) {
		return Integer.valueOf(run).equals(known.get(task)) && !isInherited(task, run);
	}

	private boolean isInherited(TaskId task, int run) {
		return Integer.valueOf(run).equals(this.inheritedRuns.get(task));
	}

	private List<FleetCommand> recordRunEnds(TrackedWorker worker, WorkerReport report, long nowNanos) {
		List<FleetCommand> commands = new ArrayList<>();
		Set<TaskId> ended = new HashSet<>();
		for (ReportedEnd end : report.ended()) {
			FleetCommand.EndRun command = new FleetCommand.EndRun(end.task(), end.run(), report.life(), end.how(),
					end.checkpoint());
			if (this.state.changesTask(command) && ended.add(end.task())) {
				commands.add(command);
				if (worker.recordEnd(end.task().job(), end.how(), nowNanos)) {
					this.events.add(new FleetEvent.WorkerSuspected(report.life()));
				}
			}
			else if (!ended.contains(end.task()) && worker.listsFirst(end)) {
				reportIgnoredEnd(report.life(), end);
			}
		}
		worker.recordListed(report);
		begunJobs(report).ifPresent(commands::add);
		this.state.runsOn(report.life()).forEach((task, run) -> {
			if (worker.reportsRunning(task, run) || ended.contains(task)) {
				worker.clearMissing(task);
			}
			else if (provesMissing(report, task, run, nowNanos) && !shouldRun(task)
					&& (isUnsent(task, run) || worker.incrementMissing(task) >= MAX_MISSING_REPORTS)) {
				LossCause cause = isUnsent(task, run) ? this.availability.unsentCause(report.life())
						: LossCause.MISSING_IN_REPORTS;
				commands.add(giveUp(task, run, report.life(), cause, "", nowNanos));
			}
		});
		return commands;
	}

	private Optional<FleetCommand> begunJobs(WorkerReport report) {
		Map<TaskId, Integer> known = this.state.runsOn(report.life());
		List<JobId> begun = report.running()
			.stream()
			.filter((run) -> Integer.valueOf(run.run()).equals(known.get(run.task())))
			.map((run) -> run.task().job())
			.filter(this::isPending)
			.filter(this.beginning::add)
			.toList();
		return begun.isEmpty() ? Optional.empty() : Optional.of(new FleetCommand.BeginJobs(begun));
	}

	private boolean isPending(JobId job) {
		return this.state.job(job).filter((known) -> known.phase() == JobPhase.PENDING).isPresent();
	}

	// An end that was recorded before a change of leader is no news.
	private void reportIgnoredEnd(WorkerIncarnation incarnation, ReportedEnd end) {
		Optional<TaskState> task = this.state.step(end.task()).map((step) -> step.tasks().get(end.task().index()));
		boolean recorded = task.filter((known) -> isRecorded(known, end)).isPresent();
		if (!recorded) {
			this.events.add(new FleetEvent.EndIgnored(incarnation, end, task.map(TaskState::run).orElse(0),
					task.flatMap(TaskState::runningOn)));
		}
	}

	// The state of a task whose whole occurrence is done has no run number.
	private static boolean isRecorded(TaskState task, ReportedEnd end) {
		boolean occurrenceDone = task.done() && task.run() == 0;
		return occurrenceDone || (task.run() == end.run() && (task.done() || end.how() != RunOutcome.DONE));
	}

	private FleetCommand.EndRun giveUp(TaskId task, int run, WorkerIncarnation incarnation, LossCause cause,
			String checkpoint, long nowNanos) {
		long lastReportNanos = this.registry.worker(incarnation)
			.map(TrackedWorker::lastReportNanos)
			.orElse(this.startNanos);
		this.unsentStarts.remove(task, run);
		this.events.add(new FleetEvent.RunGivenUp(task, run, incarnation, cause,
				Duration.ofNanos(nowNanos - lastReportNanos).toMillis()));
		return new FleetCommand.EndRun(task, run, incarnation, RunOutcome.LOST, checkpoint);
	}

	// Whether a report without a run can only mean that the worker does not have it.
	private boolean provesMissing(WorkerReport report, TaskId task, int run, long nowNanos) {
		return listsAllEnds(report) && (!isInherited(task, run) || nowNanos - this.earlierReportsEndNanos > 0);
	}

	static boolean listsAllEnds(WorkerReport report) {
		return report.ended().size() < MAX_LISTED_ENDS;
	}

	/**
	 * Marks a worker as left, so that it gets no new tasks.
	 * @param worker the worker
	 */
	public void markWorkerLeft(WorkerId worker) {
		this.registry.worker(worker).ifPresent(TrackedWorker::markLeft);
	}

	/**
	 * Detects runs that are lost with their worker, and starts that a silent worker, or
	 * one that may begin no tasks, cannot have received.
	 * @param now the time
	 * @return the commands that end these runs
	 */
	public List<FleetCommand> detectLostRuns(GrantedTime now) {
		long nowNanos = now.nanos();
		List<FleetCommand> commands = new ArrayList<>();
		Duration silenceTimeout = this.timings.silenceTimeout(this.registry.workers().size());
		for (WorkerIncarnation incarnation : this.state.incarnationsInUse()) {
			Optional<TrackedWorker> known = this.registry.worker(incarnation);
			Optional<LossCause> cause = this.registry.lossCause(incarnation, nowNanos);
			if (cause.isPresent()) {
				this.state.runsOn(incarnation)
					.forEach((task, run) -> commands.add(giveUp(task, run, incarnation, cause.get(),
							known.map((worker) -> worker.checkpoint(task, run)).orElse(""), nowNanos)));
			}
			else if (this.availability.closed(incarnation)
					|| known.filter((worker) -> worker.reachable(nowNanos, silenceTimeout)).isEmpty()) {
				withdrawUnsentStarts(incarnation, commands, nowNanos);
			}
		}
		this.registry.removeExpired(nowNanos)
			.forEach((worker) -> this.events.add(new FleetEvent.WorkerGone(worker.incarnation(),
					Duration.ofNanos(nowNanos - worker.lastReportNanos()).toMillis())));
		return commands;
	}

	// A start that was never sent to the worker cannot have begun there.
	private void withdrawUnsentStarts(WorkerIncarnation incarnation, List<FleetCommand> commands, long nowNanos) {
		this.state.runsOn(incarnation).forEach((task, run) -> {
			if (isUnsent(task, run)) {
				commands.add(giveUp(task, run, incarnation, this.availability.unsentCause(incarnation), "", nowNanos));
			}
		});
	}

	private boolean isUnsent(TaskId task, int run) {
		return Integer.valueOf(run).equals(this.unsentStarts.get(task));
	}

	/**
	 * Decides which ended jobs leave the state.
	 * @param now the time
	 * @return the command that removes them, or empty if there are none
	 */
	public Optional<FleetCommand> forgetJobs(GrantedTime now) {
		return this.retention.sweep(this.state, now.nanos());
	}

	/**
	 * Decides which recorded cancellations of unknown jobs leave the state.
	 * @param now the time
	 * @return the command that removes them, or empty if there are none
	 */
	public Optional<FleetCommand> forgetCancellations(GrantedTime now) {
		return this.cancellationRetention.sweep(this.state, now.nanos());
	}

	/**
	 * Decides what of the learned run times and worker speeds is recorded.
	 * @param now the time
	 * @return the command that records it, or empty if there is nothing to record now
	 */
	public Optional<FleetCommand> recordRunTimes(GrantedTime now) {
		return this.learning.summary(now);
	}

	/**
	 * Returns the refusals of jobs and of their cancellations.
	 * @return the refusals, which are recorded as events of this scheduler
	 */
	public JobRefusals jobRefusals() {
		return new JobRefusals(this.state, this.retention, this.cancellationRetention, this.events::add);
	}

	/**
	 * Returns the rules for orders to evacuate availability zones.
	 * @return the rules, which record refused orders as events of this scheduler
	 */
	public EvacuationOrders evacuationOrders() {
		return new EvacuationOrders(this.state, this.availability, this.events::add);
	}

	/**
	 * Decides which waiting tasks start now.
	 * @param now the time
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the starts to commit; they are sent with the responses to the next
	 * heartbeats of the workers
	 */
	public List<FleetCommand> placeTasks(GrantedTime now, long nowMillis) {
		long nowNanos = now.nanos();
		this.runMover.removeStale(nowNanos);
		this.unsentStarts.entrySet().removeIf((start) -> !this.state.isRunning(start.getKey(), start.getValue()));
		this.beginning.removeIf((job) -> !isPending(job));
		PlacementPass pass = new PlacementPass(this.state, this.registry, this.availability, this.timings,
				this.learning.forecast(), this.placementHistory, this.preempted, nowNanos, nowMillis);
		pass.run();
		pass.starts().forEach((start) -> this.unsentStarts.put(start.task(), start.run()));
		this.preempted = pass.preempted();
		this.events.addAll(pass.events());
		return List.copyOf(pass.starts());
	}

	/**
	 * Returns and clears the events since the last call.
	 * @return the events
	 */
	public List<FleetEvent> drainEvents() {
		this.learning.drainEvents(this.events);
		List<FleetEvent> drained = List.copyOf(this.events);
		this.events.clear();
		return drained;
	}

	/**
	 * Responds to a heartbeat after the ends of runs in it are committed.
	 * @param report the report that was passed to {@link #receiveReport}
	 * @return the response; it renews no lease and carries no instructions when the
	 * report was not followed or a newer one has arrived
	 */
	public HeartbeatResponse respond(WorkerReport report) {
		TrackedWorker worker = this.registry.worker(report.life().worker())
			.filter((known) -> known.report() == report)
			.orElse(null);
		if (worker == null) {
			long settled = this.membership.includes(report) ? 0 : this.membership.settledEnds(report);
			return new HeartbeatResponse(0, settled, this.term, List.of(), List.of(), reportIntervalMillis());
		}
		this.registry.extendLease(worker);
		long acknowledged = report.ended().stream().mapToLong(ReportedEnd::number).max().orElse(0);
		List<HeartbeatResponse.Start> starts = new ArrayList<>();
		List<HeartbeatResponse.Stop> stops = new ArrayList<>();
		StartBudget budget = new StartBudget();
		Map<TaskId, Integer> known = this.state.runsOn(report.life());
		known.forEach((task, run) -> {
			boolean listed = worker.reportsRunning(task, run);
			if (!shouldRun(task)) {
				stops.add(new HeartbeatResponse.Stop(task, run));
			}
			else if (!listed && listsAllEnds(report)) {
				HeartbeatResponse.Start start = start(task, run);
				if (budget.take(start)) {
					starts.add(start);
					this.unsentStarts.remove(task);
					this.learning.recordStart(task, run, worker);
				}
			}
		});
		for (ReportedRun running : report.running()) {
			if (!Integer.valueOf(running.run()).equals(known.get(running.task())) && !gangDone(running.task())) {
				stops.add(new HeartbeatResponse.Stop(running.task(), running.run()));
			}
		}
		return new HeartbeatResponse(this.timings.lease().toMillis(), acknowledged, this.term, starts, stops,
				reportIntervalMillis());
	}

	private long reportIntervalMillis() {
		return this.timings.reportInterval(this.registry.workers().size()).toMillis();
	}

	// The members of a gang end together, so once the gang is done no member needs a
	// stop.
	private boolean gangDone(TaskId task) {
		return this.state.step(task).filter((step) -> step.spec().gang() && step.done()).isPresent();
	}

	// A gang that lost a member is stopped as a whole, as the others would wait in vain.
	private boolean shouldRun(TaskId task) {
		return !this.preempted.contains(task) && !this.runMover.isMoving(task)
				&& this.state.job(task.job()).filter((job) -> !job.phase().ended()).isPresent()
				&& this.state.step(task).filter(StepState::gangIncomplete).isEmpty() && !workerPreventsRun(task);
	}

	// Whether the task, or any member of its gang, would outlive its draining worker or
	// begin on a worker that may begin no tasks.
	private boolean workerPreventsRun(TaskId task) {
		Optional<StepState> step = this.state.step(task);
		if (step.isEmpty() || !step.get().spec().gang()) {
			return step.isPresent() && workerPreventsTask(task, step.get());
		}
		for (int index = 0; index < step.get().tasks().size(); index++) {
			if (workerPreventsTask(task.member(index), step.get())) {
				return true;
			}
		}
		return false;
	}

	private boolean workerPreventsTask(TaskId task, StepState step) {
		TaskState state = step.tasks().get(task.index());
		return state.runningOn()
			.flatMap(this.registry::worker)
			.filter((worker) -> this.availability.preventsStart(worker, task, state.run())
					|| (worker.report().draining() && (!worker.reportsRunning(task, state.run())
							|| remainingMillis(worker, task, step) > worker.report().stayMillis())))
			.isPresent();
	}

	private long remainingMillis(TrackedWorker worker, TaskId task, StepState step) {
		JobState job = this.state.job(task.job()).orElseThrow();
		return RunProgress.of(this.learning.forecast(), job, step, task, worker).remainingMillis(Quantile.CAUTIOUS);
	}

	private HeartbeatResponse.Start start(TaskId task, int run) {
		JobState job = this.state.job(task.job()).orElseThrow();
		StepState step = job.step(task.occurrence(), task.step());
		TaskState member = step.tasks().get(task.index());
		String checkpoint = step.spec().gang() ? step.gangCheckpoint() : member.checkpoint();
		return new HeartbeatResponse.Start(task, run, job.plan().payload(),
				step.spec().checkpoints() ? checkpoint : "");
	}

}
