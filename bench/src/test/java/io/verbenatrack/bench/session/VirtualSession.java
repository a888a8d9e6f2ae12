package io.verbenatrack.bench.session;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.FencingToken;
import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.Slot;
import io.verbenatrack.scheduling.MemberReport;
import io.verbenatrack.scheduling.Scheduler;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.SchedulingEvent;
import io.verbenatrack.settings.WorkPlan;

/**
 * Runs a work plan against a scheduler on a virtual clock and records the decisions as
 * text.
 */
final class VirtualSession {

	private static final Duration WORKER_DELAY = Duration.ofMillis(200);

	private static final Duration TICK = Duration.ofSeconds(1);

	private static final Duration LONGEST = Duration.ofDays(2);

	private final Scheduler scheduler;

	private final WorkPlan plan;

	private final PriorityQueue<Planned> queue = new PriorityQueue<>(
			Comparator.comparing(Planned::at).thenComparing(Planned::order));

	private final Map<JobId, Duration> actual = new HashMap<>();

	private final Map<JobId, Duration> kept = new HashMap<>();

	private final Map<JobId, Instant> started = new HashMap<>();

	private final Map<JobId, GangPlacement> placements = new HashMap<>();

	private final Map<JobId, Integer> outcomes = new HashMap<>();

	private final List<String> lines = new ArrayList<>();

	private long order;

	VirtualSession(Scheduler scheduler, WorkPlan plan) {
		this.scheduler = scheduler;
		this.plan = plan;
	}

	List<String> run(Declarations declarations) {
		Instant start = this.plan.start();
		plan(start, new SchedulingEvent.DeclarationsInForce(declarations));
		this.plan.workers().forEach((worker) -> plan(start, new SchedulingEvent.WorkerAnnounced(worker)));
		for (WorkPlan.PlannedJob job : this.plan.jobs()) {
			this.actual.put(job.job().id(), job.actualRunTime());
			plan(start.plus(job.arrival()), new SchedulingEvent.JobSubmitted(job.job()));
		}
		Instant tick = start;
		while (this.outcomes.size() < this.plan.jobs().size() && tick.isBefore(start.plus(LONGEST))) {
			tick = tick.plus(TICK);
			handleUntil(tick);
			decide(new SchedulingEvent.TimePassed(), tick);
		}
		return this.lines;
	}

	Map<JobId, Integer> outcomes() {
		return this.outcomes;
	}

	private void handleUntil(Instant limit) {
		while (!this.queue.isEmpty() && this.queue.peek().at().isBefore(limit)) {
			Planned next = this.queue.poll();
			decide(next.event(), next.at());
		}
	}

	private void plan(Instant at, SchedulingEvent event) {
		this.queue.add(new Planned(at, this.order++, event));
	}

	private void decide(SchedulingEvent event, Instant now) {
		for (SchedulingDecision decision : this.scheduler.decide(event, now)) {
			write(decision, now);
			answer(decision, now);
		}
	}

	private void write(SchedulingDecision decision, Instant now) {
		if (decision instanceof SchedulingDecision.RecordMember || decision instanceof SchedulingDecision.RecordUsage) {
			return;
		}
		this.lines.add(Duration.between(this.plan.start(), now) + " " + decision);
	}

	private void answer(SchedulingDecision decision, Instant now) {
		switch (decision) {
			case SchedulingDecision.PlaceGang place -> {
				this.placements.put(place.job(), place.placement());
				report(place.job(), place.token(), MemberReport.PREPARED, now.plus(WORKER_DELAY));
			}
			case SchedulingDecision.StartGang start -> {
				this.started.put(start.job(), now);
				Duration left = this.actual.get(start.job()).minus(keptOf(start.job()));
				report(start.job(), start.token(), MemberReport.STARTED, now.plus(WORKER_DELAY));
				report(start.job(), start.token(), MemberReport.FINISHED, now.plus(WORKER_DELAY).plus(left));
			}
			case SchedulingDecision.CheckpointGang checkpoint -> {
				Duration run = Duration.between(this.started.get(checkpoint.job()), now);
				Duration progress = keptOf(checkpoint.job()).plus(run);
				plan(now.plus(WORKER_DELAY),
						new SchedulingEvent.UsageReported(checkpoint.job(), progress, progress, 0));
				report(checkpoint.job(), checkpoint.token(), MemberReport.CHECKPOINTED, now.plus(WORKER_DELAY));
			}
			case SchedulingDecision.StopGang stop ->
				report(stop.job(), stop.token(), MemberReport.STOPPED, now.plus(WORKER_DELAY));
			case SchedulingDecision.RequeueJob requeue -> this.kept.put(requeue.job(), requeue.keptProgress());
			case SchedulingDecision.EndJob end -> this.outcomes.merge(end.job(), 1, Integer::sum);
			default -> {
				// Workers do not respond to the other decisions.
			}
		}
	}

	private Duration keptOf(JobId job) {
		return this.kept.getOrDefault(job, Duration.ZERO);
	}

	private void report(JobId job, FencingToken token, MemberReport report, Instant at) {
		for (Slot slot : this.placements.get(job).slots()) {
			plan(at, new SchedulingEvent.MemberReported(job, token, slot.worker(), report));
		}
	}

	private record Planned(Instant at, long order, SchedulingEvent event) {

	}

}
