package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.verbenatrack.fleet.model.HeartbeatResponse;
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
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.WorkerId;

/**
 * Decides on the fleet during one term of a leader. Orders are derived from the committed
 * state alone, so that nothing starts that a later leader would not know of.
 */
public final class FleetScheduler {

	/** An order that is under way for longer than this many reports was lost. */
	private static final int MAX_MISSING_REPORTS = 3;

	private static final int WHOLE_PERCENT = 100;

	private final FleetState state;

	private final FleetTimings timings;

	private final WorkerRegistry registry;

	private final long term;

	private final List<FleetEvent> events = new ArrayList<>();

	private final StalledRunMover runMover;

	/**
	 * Starts that no answer has carried yet, so that their worker knows nothing of them.
	 */
	private final Map<TaskId, Integer> unsentStarts = new HashMap<>();

	private Set<TaskId> preempted = Set.of();

	private Set<JobId> waitingJobs = Set.of();

	/**
	 * Begins a term.
	 * @param state the replicated state, changed by nobody else while this decides
	 * @param timings how long to wait
	 * @param term the term, which is the fence of all orders
	 * @param nowNanos when the term began, by the monotonic clock
	 */
	public FleetScheduler(FleetState state, FleetTimings timings, long term, long nowNanos) {
		this.state = state;
		this.timings = timings;
		this.term = term;
		this.registry = new WorkerRegistry(nowNanos, timings.maxLeaseNanos());
		this.runMover = new StalledRunMover(state, this.registry);
	}

	/**
	 * Takes a heartbeat.
	 * @param report what the worker says
	 * @param nowNanos when it arrived
	 * @return what is to be recorded before the worker is answered; empty when the report
	 * is out of date and gets no orders
	 */
	public Optional<List<FleetCommand>> receiveReport(WorkerReport report, long nowNanos) {
		Optional<TrackedWorker> before = this.registry.worker(report.life());
		boolean wasDraining = before.filter((worker) -> worker.report().draining()).isPresent();
		Optional<TrackedWorker> known = this.registry.update(report, nowNanos);
		if (known.isPresent() && before.isEmpty()) {
			this.events.add(new FleetEvent.WorkerJoined(report));
		}
		if (known.isPresent() && report.draining() && !wasDraining) {
			this.events.add(new FleetEvent.WorkerDraining(report.life(), report.running().size()));
		}
		known.ifPresent((worker) -> this.events.addAll(this.runMover.inspect(worker, nowNanos)));
		return known.map((worker) -> recordRunEnds(worker, report, nowNanos));
	}

	private List<FleetCommand> recordRunEnds(TrackedWorker worker, WorkerReport report, long nowNanos) {
		List<FleetCommand> commands = new ArrayList<>();
		Set<TaskId> ended = new HashSet<>();
		for (ReportedEnd end : report.ended()) {
			FleetCommand.EndRun command = new FleetCommand.EndRun(end.task(), end.run(), report.life(), end.how(),
					end.checkpoint());
			if (this.state.isCurrentRun(command) && ended.add(end.task())) {
				commands.add(command);
				if (worker.recordEnd(end.task().job(), end.how(), nowNanos)) {
					this.events.add(new FleetEvent.WorkerSuspected(report.life()));
				}
			}
		}
		this.state.runsOn(report.life()).forEach((task, run) -> {
			if (worker.reportsRunning(task, run) || ended.contains(task)) {
				worker.clearMissing(task);
			}
			else if (!shouldRun(task)
					&& (isUnsent(task, run) || worker.incrementMissing(task) >= MAX_MISSING_REPORTS)) {
				commands.add(new FleetCommand.EndRun(task, run, report.life(), RunOutcome.LOST, ""));
			}
		});
		return commands;
	}

	/**
	 * Takes note that a worker leaves.
	 * @param worker the worker
	 */
	public void markWorkerLeft(WorkerId worker) {
		this.registry.worker(worker).ifPresent(TrackedWorker::markLeft);
	}

	/**
	 * Finds the runs whose worker is gone for sure.
	 * @param nowNanos the time
	 * @return their ends
	 */
	public List<FleetCommand> detectLostRuns(long nowNanos) {
		List<FleetCommand> commands = new ArrayList<>();
		Duration silenceTimeout = this.timings.silenceTimeout(this.registry.workers().size());
		for (WorkerIncarnation incarnation : this.state.incarnationsInUse()) {
			Optional<TrackedWorker> known = this.registry.worker(incarnation);
			if (this.registry.lost(incarnation, nowNanos)) {
				this.state.runsOn(incarnation)
					.forEach((task, run) -> commands.add(new FleetCommand.EndRun(task, run, incarnation,
							RunOutcome.LOST, known.map((worker) -> worker.checkpoint(task, run)).orElse(""))));
			}
			else if (known.filter((worker) -> worker.reachable(nowNanos, silenceTimeout)).isEmpty()) {
				withdrawUnsentStarts(incarnation, commands);
			}
		}
		this.registry.removeExpired(nowNanos)
			.forEach((worker) -> this.events.add(new FleetEvent.WorkerGone(worker.incarnation(),
					Duration.ofNanos(nowNanos - worker.lastReportNanos()).toMillis())));
		return commands;
	}

	// A worker that went silent before it was told of a start can have begun nothing.
	private void withdrawUnsentStarts(WorkerIncarnation incarnation, List<FleetCommand> commands) {
		this.state.runsOn(incarnation).forEach((task, run) -> {
			if (isUnsent(task, run)) {
				commands.add(new FleetCommand.EndRun(task, run, incarnation, RunOutcome.LOST, ""));
			}
		});
	}

	private boolean isUnsent(TaskId task, int run) {
		return Integer.valueOf(run).equals(this.unsentStarts.get(task));
	}

	/**
	 * Decides what starts now.
	 * @param nowNanos the time of the monotonic clock
	 * @param nowMillis the time in milliseconds since 1970
	 * @return the starts; they leave with the answers to the workers' next heartbeats
	 */
	public List<FleetCommand> placeTasks(long nowNanos, long nowMillis) {
		this.runMover.removeStale(nowNanos);
		this.unsentStarts.entrySet().removeIf((start) -> !this.state.isRunning(start.getKey(), start.getValue()));
		PlacementPass pass = new PlacementPass(this.state, this.registry, this.timings, this.runMover, this.preempted,
				nowNanos, nowMillis);
		pass.run();
		pass.starts().forEach((start) -> this.unsentStarts.put(start.task(), start.run()));
		recordPreemptions(withWholeGangs(pass.preempted()));
		recordWaitingJobs(pass.waiting());
		return List.copyOf(pass.starts());
	}

	private void recordPreemptions(Set<TaskId> tasks) {
		for (TaskId task : tasks) {
			if (!this.preempted.contains(task)) {
				this.state.step(task)
					.map((step) -> step.tasks().get(task.index()).run())
					.ifPresent((run) -> this.events.add(new FleetEvent.RunPreempted(task, run)));
			}
		}
		this.preempted = tasks;
	}

	private void recordWaitingJobs(List<FleetEvent.JobWaits> waiting) {
		Set<JobId> jobs = new HashSet<>();
		for (FleetEvent.JobWaits event : waiting) {
			if (jobs.add(event.job()) && !this.waitingJobs.contains(event.job())) {
				this.events.add(event);
			}
		}
		this.waitingJobs = jobs;
	}

	/**
	 * Gives what the leader came to believe since the last call.
	 * @return the notes
	 */
	public List<FleetEvent> drainEvents() {
		List<FleetEvent> drained = List.copyOf(this.events);
		this.events.clear();
		return drained;
	}

	private Set<TaskId> withWholeGangs(Set<TaskId> tasks) {
		Set<TaskId> all = new HashSet<>(tasks);
		for (TaskId task : tasks) {
			this.state.step(task).filter((step) -> step.spec().gang()).ifPresent((step) -> {
				for (int index = 0; index < step.tasks().size(); index++) {
					all.add(task.member(index));
				}
			});
		}
		return all;
	}

	/**
	 * Answers a heartbeat whose ends are recorded.
	 * @param report the heartbeat
	 * @return the orders
	 */
	public HeartbeatResponse respond(WorkerReport report) {
		TrackedWorker worker = this.registry.worker(report.life().worker())
			.filter((known) -> known.report() == report)
			.orElse(null);
		if (worker == null) {
			return new HeartbeatResponse(0, 0, this.term, List.of(), List.of(), reportIntervalMillis());
		}
		this.registry.extendLease(worker);
		long acknowledged = report.ended().stream().mapToLong(ReportedEnd::number).max().orElse(0);
		List<HeartbeatResponse.Start> starts = new ArrayList<>();
		List<HeartbeatResponse.Stop> stops = new ArrayList<>();
		Map<TaskId, Integer> known = this.state.runsOn(report.life());
		known.forEach((task, run) -> {
			boolean listed = worker.reportsRunning(task, run);
			if (!shouldRun(task)) {
				stops.add(new HeartbeatResponse.Stop(task, run));
			}
			else if (!listed) {
				starts.add(start(task, run));
				this.unsentStarts.remove(task);
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

	// The members of a gang end together; once one end is known the others need no stop.
	private boolean gangDone(TaskId task) {
		return this.state.step(task).filter((step) -> step.spec().gang() && step.done()).isPresent();
	}

	// A gang whose run has lost a member stops as a whole: the others would only wait.
	private boolean shouldRun(TaskId task) {
		return !this.preempted.contains(task) && !this.runMover.isMoving(task)
				&& this.state.job(task.job()).filter((job) -> !job.phase().ended()).isPresent()
				&& this.state.step(task).filter(StepState::gangIncomplete).isEmpty() && !outlivesDrainingWorker(task);
	}

	// Whether the task, or a member of its gang, outlives its worker.
	private boolean outlivesDrainingWorker(TaskId task) {
		Optional<StepState> step = this.state.step(task);
		if (step.isEmpty() || !step.get().spec().gang()) {
			return step.isPresent() && taskOutlivesWorker(task, step.get());
		}
		for (int index = 0; index < step.get().tasks().size(); index++) {
			if (taskOutlivesWorker(task.member(index), step.get())) {
				return true;
			}
		}
		return false;
	}

	private boolean taskOutlivesWorker(TaskId task, StepState step) {
		TaskState state = step.tasks().get(task.index());
		return state.runningOn()
			.flatMap(this.registry::worker)
			.filter((worker) -> worker.report().draining())
			.filter((worker) -> !worker.reportsRunning(task, state.run())
					|| remainingMillis(worker, task, step) > worker.report().stayMillis())
			.isPresent();
	}

	private static long remainingMillis(TrackedWorker worker, TaskId task, StepState step) {
		return step.spec().estimatedMillis() * (WHOLE_PERCENT - worker.percent(task)) / WHOLE_PERCENT;
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
