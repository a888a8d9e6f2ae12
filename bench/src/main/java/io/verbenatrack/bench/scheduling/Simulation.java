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

	private static final Set<MemberReport> RELEASING = EnumSet.of(MemberReport.FINISHED, MemberReport.FAILED,
			MemberReport.STOPPED);

	private static final int LONGEST_ANSWER_MS = 20;

	private static final int LONGEST_CHECKPOINT_MS = 1_200;

	private static final long BUSY_TICK_MS = 200;

	private static final long IDLE_TICK_MS = 10_000;

	private static final long USAGE_INTERVAL_MS = 300_000;

	private static final long USAGE_LAG_MS = 30_000;

	private static final long RACK_LOSS_MS = 3_600_000;

	private static final int GIVE_UP_AFTER_SPANS = 6;

	private final VirtualClock clock = new VirtualClock();

	private final FleetMap fleet = new FleetMap();

	private final Map<JobId, JobRun> runs = new LinkedHashMap<>();

	private final Set<WorkerId> dead = new HashSet<>();

	private final Set<WorkerId> blackHoles = new HashSet<>();

	private final WorkloadPlan plan;

	private final Scheduler scheduler;

	private final FigureCollector figures;

	private final Random random;

	private int open;

	private long lastTransitionMs;

	private long nextTickMs;

	Simulation(WorkloadPlan plan, Scheduler scheduler, long seed) {
		this.plan = plan;
		this.scheduler = scheduler;
		this.random = new Random(seed);
		this.figures = new FigureCollector(plan, this.fleet, this.runs);
	}

	FigureCollector run() {
		offer(new SchedulingEvent.DeclarationsInForce(this.plan.declarations()));
		this.plan.workers().forEach(this::announce);
		this.plan.workers().stream().filter(this.plan::blackHole).forEach((worker) -> this.blackHoles.add(worker.id()));
		this.plan.jobs().forEach(this::arrange);
		this.plan.lostRack().forEach((worker) -> this.clock.after(this.plan.spanMs() / 2, () -> lose(worker)));
		this.clock.after(this.plan.spanMs(), () -> this.figures.stateSize(this.scheduler.view()));
		tick();
		long giveUpMs = GIVE_UP_AFTER_SPANS * Math.max(this.plan.longestPathMs(), this.plan.workOverCapacityMs());
		while (this.open > 0 && this.clock.nowMs() < giveUpMs) {
			this.clock.runNext();
		}
		this.figures.close(this.clock.nowMs());
		return this.figures;
	}

	private void offer(SchedulingEvent event) {
		long started = System.nanoTime();
		var decisions = this.scheduler.decide(event, this.clock.instant());
		this.figures.decided(event, this.clock.nowMs(), System.nanoTime() - started);
		decisions.forEach(this::carryOut);
	}

	private void carryOut(SchedulingDecision decision) {
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
		this.dead.remove(worker.id());
		this.fleet.add(worker);
		offer(new SchedulingEvent.WorkerAnnounced(worker));
	}

	private void arrange(PlannedJob job) {
		this.open++;
		this.clock.after(job.arrivalMs(), () -> {
			JobRun run = new JobRun(job);
			this.runs.put(job.spec().id(), run);
			this.figures.submitted(run);
			offer(new SchedulingEvent.JobSubmitted(job.spec()));
		});
		job.cancelMs()
			.ifPresent((at) -> this.clock.after(at, () -> offer(new SchedulingEvent.JobCancelled(job.spec().id()))));
	}

	private void lose(WorkerSpec worker) {
		this.dead.add(worker.id());
		this.runs.values()
			.stream()
			.filter((run) -> run.held.containsKey(worker.id()))
			.forEach((run) -> run.halt(this.clock.nowMs()));
		this.clock.after(this.plan.declarations().defaults().leaseDuration().toMillis(), () -> {
			this.fleet.remove(worker);
			this.runs.values().forEach((run) -> run.held.remove(worker.id()));
			transition();
			offer(new SchedulingEvent.WorkerLost(worker.id()));
		});
		this.clock.after(RACK_LOSS_MS, () -> announce(worker));
	}

	private void place(SchedulingDecision.PlaceGang place) {
		transition();
		JobRun run = this.runs.get(place.job());
		boolean stillHeld = !run.held.isEmpty();
		run.place(place.token().value(), place.placement());
		this.figures.placed(this.fleet.hold(run.gang(), place.placement()) && !stillHeld);
		run.slots.forEach((slot) -> report(run, slot, MemberReport.PREPARED, answerMs()));
	}

	private void start(JobRun run, FencingToken token) {
		this.figures.started(run, this.clock.nowMs());
		boolean fails = run.slots.stream().anyMatch((slot) -> this.blackHoles.contains(slot.worker()));
		long delay = answerMs();
		if (!fails) {
			run.start(this.clock.nowMs() + delay);
		}
		run.slots.forEach((slot) -> {
			boolean failing = this.blackHoles.contains(slot.worker());
			report(run, slot, failing ? MemberReport.FAILED : MemberReport.STARTED, delay);
			long left = run.job.runTimeMs() - run.savedMs;
			if (!fails) {
				report(run, slot, MemberReport.FINISHED, delay + left + answerMs());
			}
		});
		this.clock.after(USAGE_INTERVAL_MS, () -> reportUsage(run, token));
	}

	private void checkpoint(JobRun run, FencingToken token) {
		transition();
		long delay = this.random.nextInt(LONGEST_CHECKPOINT_MS);
		this.clock.after(delay, () -> {
			if (current(run, token) && run.job.spec().checkpointable()) {
				run.savedMs = run.progressMs(this.clock.nowMs());
				usage(run, run.savedMs, run.savedMs);
			}
		});
		run.slots.forEach((slot) -> report(run, slot, MemberReport.CHECKPOINTED, delay + 1));
	}

	private void stop(JobRun run, FencingToken token) {
		transition();
		if (current(run, token)) {
			run.halt(this.clock.nowMs());
		}
		run.slots.forEach((slot) -> report(run, slot, MemberReport.STOPPED, answerMs()));
	}

	private void requeue(JobRun run) {
		run.slots = List.of();
		this.figures.requeued();
	}

	private void end(JobRun run, JobOutcome outcome) {
		this.figures.ended(run, outcome, this.clock.nowMs());
		this.open--;
	}

	// Schedules a report of a member. It is dropped if the run has ended or the worker is
	// lost by then.
	private void report(JobRun run, Slot slot, MemberReport report, long delayMs) {
		FencingToken token = new FencingToken(run.token);
		long startedMs = run.startedMs;
		this.clock.after(delayMs, () -> {
			boolean held = run.token == token.value() && run.held.containsKey(slot.worker());
			boolean stale = report == MemberReport.FINISHED && run.startedMs != startedMs;
			boolean answers = held || report == MemberReport.STOPPED;
			if (!answers || stale || this.dead.contains(slot.worker())) {
				return;
			}
			if (report == MemberReport.PREPARED) {
				run.prepared.add(slot.worker());
			}
			if (held && RELEASING.contains(report)) {
				this.fleet.release(run.held.remove(slot.worker()));
			}
			offer(new SchedulingEvent.MemberReported(run.job.spec().id(), token, slot.worker(), report));
		});
	}

	private void reportUsage(JobRun run, FencingToken token) {
		if (!current(run, token)) {
			return;
		}
		long progressMs = run.progressMs(this.clock.nowMs());
		long savedMs = run.checkpointedMs(this.clock.nowMs());
		this.clock.after(USAGE_LAG_MS, () -> {
			if (current(run, token)) {
				usage(run, progressMs, savedMs);
			}
		});
		this.clock.after(USAGE_INTERVAL_MS, () -> reportUsage(run, token));
	}

	private void usage(JobRun run, long progressMs, long savedMs) {
		offer(new SchedulingEvent.UsageReported(run.job.spec().id(), Duration.ofMillis(progressMs),
				Duration.ofMillis(savedMs), run.job.spec().shape().memoryGib()));
	}

	private boolean current(JobRun run, FencingToken token) {
		return run.token == token.value() && run.running() && !run.ended();
	}

	private long answerMs() {
		return this.random.nextInt(1, LONGEST_ANSWER_MS);
	}

	// While gangs start or stop, deadlines are short and need more frequent ticks.
	private void transition() {
		this.lastTransitionMs = this.clock.nowMs();
		if (this.nextTickMs > this.clock.nowMs() + BUSY_TICK_MS) {
			tickAfter(BUSY_TICK_MS);
		}
	}

	private void tickAfter(long delayMs) {
		long at = this.clock.nowMs() + delayMs;
		this.nextTickMs = at;
		this.clock.after(delayMs, () -> {
			if (this.nextTickMs == at) {
				tick();
			}
		});
	}

	private void tick() {
		this.figures.sample(this.clock.nowMs());
		offer(new SchedulingEvent.TimePassed());
		boolean busy = this.clock.nowMs() - this.lastTransitionMs < 2 * IDLE_TICK_MS;
		tickAfter(busy ? BUSY_TICK_MS : IDLE_TICK_MS);
	}

}
