package io.verbenatrack.bench.scheduling;

import java.time.Duration;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import io.verbenatrack.model.FencingToken;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobOutcome;
import io.verbenatrack.model.Slot;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.WorkerSpec;
import io.verbenatrack.scheduling.MemberReport;
import io.verbenatrack.scheduling.Scheduler;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.SchedulingEvent;

/**
 * Simulates one policy on a workload plan. Simulated workers execute its decisions and
 * report back.
 */
final class Simulation {

	private static final Set<MemberReport> ENDING_REPORTS = EnumSet.of(MemberReport.FINISHED, MemberReport.FAILED,
			MemberReport.STOPPED);

	private static final int MAXIMUM_RESPONSE_MS = 20;

	private static final int MAXIMUM_CHECKPOINT_MS = 1_200;

	private static final long BUSY_TICK_MS = 200;

	private static final long IDLE_TICK_MS = 10_000;

	private static final long USAGE_INTERVAL_MS = 300_000;

	private static final long USAGE_DELAY_MS = 30_000;

	private static final long RACK_OUTAGE_MS = 3_600_000;

	private static final int TIME_LIMIT_FACTOR = 6;

	private final VirtualClock clock = new VirtualClock();

	private final AcceleratorMap fleet = new AcceleratorMap();

	private final Map<JobId, SimulatedJob> runs = new LinkedHashMap<>();

	private final Set<WorkerId> lostWorkers = new HashSet<>();

	private final Set<WorkerId> failingWorkers = new HashSet<>();

	private final WorkloadPlan plan;

	private final Scheduler scheduler;

	private final ResultCollector results;

	private final Random random;

	private int unfinishedJobs;

	private long lastTransitionMs;

	private long nextTickMs;

	Simulation(WorkloadPlan plan, Scheduler scheduler, long seed) {
		this.plan = plan;
		this.scheduler = scheduler;
		this.random = new Random(seed);
		this.results = new ResultCollector(plan, this.fleet, this.runs);
	}

	ResultCollector run() {
		decide(new SchedulingEvent.DeclarationsInForce(this.plan.declarations()));
		this.plan.workers().forEach(this::announce);
		this.plan.workers()
			.stream()
			.filter(this.plan::failsAllJobs)
			.forEach((worker) -> this.failingWorkers.add(worker.id()));
		this.plan.jobs().forEach(this::scheduleJob);
		this.plan.lostRack().forEach((worker) -> this.clock.schedule(this.plan.spanMs() / 2, () -> loseWorker(worker)));
		this.clock.schedule(this.plan.spanMs(), () -> this.results.recordStateSize(this.scheduler.view()));
		tick();
		long timeLimitMs = TIME_LIMIT_FACTOR * Math.max(this.plan.longestPathMs(), this.plan.workOverCapacityMs());
		while (this.unfinishedJobs > 0 && this.clock.nowMs() < timeLimitMs) {
			this.clock.runNext();
		}
		this.results.recordEndOfRun(this.clock.nowMs());
		return this.results;
	}

	private void decide(SchedulingEvent event) {
		long started = System.nanoTime();
		var decisions = this.scheduler.decide(event, this.clock.instant());
		this.results.recordDecision(event, this.clock.nowMs(), System.nanoTime() - started);
		decisions.forEach(this::execute);
	}

	private void execute(SchedulingDecision decision) {
		switch (decision) {
			case SchedulingDecision.PlaceGang place -> place(place);
			case SchedulingDecision.StartGang start -> start(this.runs.get(start.job()), start.token());
			case SchedulingDecision.CheckpointGang save -> checkpoint(this.runs.get(save.job()), save.token());
			case SchedulingDecision.StopGang stop -> stop(this.runs.get(stop.job()), stop.token());
			case SchedulingDecision.RequeueJob requeue -> requeue(this.runs.get(requeue.job()));
			case SchedulingDecision.EndJob end -> end(this.runs.get(end.job()), end.outcome());
			default -> {
			}
		}
	}

	private void announce(WorkerSpec worker) {
		this.lostWorkers.remove(worker.id());
		this.fleet.add(worker);
		decide(new SchedulingEvent.WorkerAnnounced(worker));
	}

	private void scheduleJob(PlannedJob job) {
		this.unfinishedJobs++;
		this.clock.schedule(job.arrivalMs(), () -> {
			SimulatedJob run = new SimulatedJob(job);
			this.runs.put(job.spec().id(), run);
			this.results.recordSubmission(run);
			decide(new SchedulingEvent.JobSubmitted(job.spec()));
		});
		job.cancelMs()
			.ifPresent(
					(at) -> this.clock.schedule(at, () -> decide(new SchedulingEvent.JobCancelled(job.spec().id()))));
	}

	private void loseWorker(WorkerSpec worker) {
		this.lostWorkers.add(worker.id());
		this.runs.values()
			.stream()
			.filter((run) -> run.held.containsKey(worker.id()))
			.forEach((run) -> run.stopRun(this.clock.nowMs()));
		this.clock.schedule(this.plan.declarations().defaults().leaseDuration().toMillis(), () -> {
			this.fleet.remove(worker);
			this.runs.values().forEach((run) -> run.held.remove(worker.id()));
			noteTransition();
			decide(new SchedulingEvent.WorkerLost(worker.id()));
		});
		this.clock.schedule(RACK_OUTAGE_MS, () -> announce(worker));
	}

	private void place(SchedulingDecision.PlaceGang place) {
		noteTransition();
		SimulatedJob run = this.runs.get(place.job());
		boolean stillHeld = !run.held.isEmpty();
		run.place(place.token().value(), place.placement());
		this.results.recordPlacement(this.fleet.allocate(run.gang(), place.placement()) && !stillHeld);
		run.slots.forEach((slot) -> report(run, slot, MemberReport.PREPARED, responseMs()));
	}

	private void start(SimulatedJob run, FencingToken token) {
		this.results.recordStart(run, this.clock.nowMs());
		boolean fails = run.slots.stream().anyMatch((slot) -> this.failingWorkers.contains(slot.worker()));
		long delay = responseMs();
		if (!fails) {
			run.start(this.clock.nowMs() + delay);
		}
		run.slots.forEach((slot) -> {
			boolean failing = this.failingWorkers.contains(slot.worker());
			report(run, slot, failing ? MemberReport.FAILED : MemberReport.STARTED, delay);
			long left = run.job.runTimeMs() - run.savedMs;
			if (!fails) {
				report(run, slot, MemberReport.FINISHED, delay + left + responseMs());
			}
		});
		this.clock.schedule(USAGE_INTERVAL_MS, () -> reportUsage(run, token));
	}

	private void checkpoint(SimulatedJob run, FencingToken token) {
		noteTransition();
		long delay = this.random.nextInt(MAXIMUM_CHECKPOINT_MS);
		this.clock.schedule(delay, () -> {
			if (isCurrent(run, token) && run.job.spec().checkpointable()) {
				run.savedMs = run.progressMs(this.clock.nowMs());
				sendUsage(run, run.savedMs, run.savedMs);
			}
		});
		run.slots.forEach((slot) -> report(run, slot, MemberReport.CHECKPOINTED, delay + 1));
	}

	private void stop(SimulatedJob run, FencingToken token) {
		noteTransition();
		if (isCurrent(run, token)) {
			run.stopRun(this.clock.nowMs());
		}
		run.slots.forEach((slot) -> report(run, slot, MemberReport.STOPPED, responseMs()));
	}

	private void requeue(SimulatedJob run) {
		run.slots = List.of();
		this.results.recordRequeue();
	}

	private void end(SimulatedJob run, JobOutcome outcome) {
		this.results.recordEnd(run, outcome, this.clock.nowMs());
		this.unfinishedJobs--;
	}

	// Schedules a report of a member. It is dropped if the run has ended or the worker is
	// lost by then.
	private void report(SimulatedJob run, Slot slot, MemberReport report, long delayMs) {
		FencingToken token = new FencingToken(run.token);
		long startedMs = run.startedMs;
		this.clock.schedule(delayMs, () -> {
			boolean held = run.token == token.value() && run.held.containsKey(slot.worker());
			boolean stale = report == MemberReport.FINISHED && run.startedMs != startedMs;
			boolean answers = held || report == MemberReport.STOPPED;
			if (!answers || stale || this.lostWorkers.contains(slot.worker())) {
				return;
			}
			if (report == MemberReport.PREPARED) {
				run.prepared.add(slot.worker());
			}
			if (held && ENDING_REPORTS.contains(report)) {
				this.fleet.release(run.held.remove(slot.worker()));
			}
			decide(new SchedulingEvent.MemberReported(run.job.spec().id(), token, slot.worker(), report));
		});
	}

	private void reportUsage(SimulatedJob run, FencingToken token) {
		if (!isCurrent(run, token)) {
			return;
		}
		long progressMs = run.progressMs(this.clock.nowMs());
		long savedMs = run.checkpointedMs(this.clock.nowMs());
		this.clock.schedule(USAGE_DELAY_MS, () -> {
			if (isCurrent(run, token)) {
				sendUsage(run, progressMs, savedMs);
			}
		});
		this.clock.schedule(USAGE_INTERVAL_MS, () -> reportUsage(run, token));
	}

	private void sendUsage(SimulatedJob run, long progressMs, long savedMs) {
		decide(new SchedulingEvent.UsageReported(run.job.spec().id(), Duration.ofMillis(progressMs),
				Duration.ofMillis(savedMs), run.job.spec().shape().memoryGib()));
	}

	private boolean isCurrent(SimulatedJob run, FencingToken token) {
		return run.token == token.value() && run.running() && !run.ended();
	}

	private long responseMs() {
		return this.random.nextInt(1, MAXIMUM_RESPONSE_MS);
	}

	// While gangs start or stop, deadlines are short and need more frequent ticks.
	private void noteTransition() {
		this.lastTransitionMs = this.clock.nowMs();
		if (this.nextTickMs > this.clock.nowMs() + BUSY_TICK_MS) {
			tickAfter(BUSY_TICK_MS);
		}
	}

	private void tickAfter(long delayMs) {
		long at = this.clock.nowMs() + delayMs;
		this.nextTickMs = at;
		this.clock.schedule(delayMs, () -> {
			if (this.nextTickMs == at) {
				tick();
			}
		});
	}

	private void tick() {
		this.results.sample(this.clock.nowMs());
		decide(new SchedulingEvent.TimePassed());
		boolean busy = this.clock.nowMs() - this.lastTransitionMs < 2 * IDLE_TICK_MS;
		tickAfter(busy ? BUSY_TICK_MS : IDLE_TICK_MS);
	}

}
