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
final class SimulatedSession {

	private static final Duration RESPONSE_DELAY = Duration.ofMillis(200);

	private static final Duration TICK = Duration.ofSeconds(1);

	private static final Duration TIME_LIMIT = Duration.ofDays(2);

	private final Scheduler scheduler;

	private final WorkPlan plan;

	private final PriorityQueue<PlannedEvent> queue = new PriorityQueue<>(
			Comparator.comparing(PlannedEvent::at).thenComparing(PlannedEvent::order));

	private final Map<JobId, Duration> actualRunTimes = new HashMap<>();

	private final Map<JobId, Duration> savedProgress = new HashMap<>();

	private final Map<JobId, Instant> startTimes = new HashMap<>();

	private final Map<JobId, GangPlacement> placements = new HashMap<>();

	private final Map<JobId, Integer> outcomes = new HashMap<>();

	private final List<String> lines = new ArrayList<>();

	private long order;

	SimulatedSession(Scheduler scheduler, WorkPlan plan) {
		this.scheduler = scheduler;
		this.plan = plan;
	}

	List<String> run(Declarations declarations) {
		Instant start = this.plan.start();
		schedule(start, new SchedulingEvent.DeclarationsInForce(declarations));
		this.plan.workers().forEach((worker) -> schedule(start, new SchedulingEvent.WorkerAnnounced(worker)));
		for (WorkPlan.PlannedJob job : this.plan.jobs()) {
			this.actualRunTimes.put(job.job().id(), job.actualRunTime());
			schedule(start.plus(job.arrival()), new SchedulingEvent.JobSubmitted(job.job()));
		}
		Instant tick = start;
		while (this.outcomes.size() < this.plan.jobs().size() && tick.isBefore(start.plus(TIME_LIMIT))) {
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
			PlannedEvent next = this.queue.poll();
			decide(next.event(), next.at());
		}
	}

	private void schedule(Instant at, SchedulingEvent event) {
		this.queue.add(new PlannedEvent(at, this.order++, event));
	}

	private void decide(SchedulingEvent event, Instant now) {
		for (SchedulingDecision decision : this.scheduler.decide(event, now)) {
			recordDecision(decision, now);
			respond(decision, now);
		}
	}

	private void recordDecision(SchedulingDecision decision, Instant now) {
		if (decision instanceof SchedulingDecision.RecordMember || decision instanceof SchedulingDecision.RecordUsage) {
			return;
		}
		this.lines.add(Duration.between(this.plan.start(), now) + " " + decision);
	}

	private void respond(SchedulingDecision decision, Instant now) {
		switch (decision) {
			case SchedulingDecision.PlaceGang place -> {
				this.placements.put(place.job(), place.placement());
				report(place.job(), place.token(), MemberReport.PREPARED, now.plus(RESPONSE_DELAY));
			}
			case SchedulingDecision.StartGang start -> {
				this.startTimes.put(start.job(), now);
				Duration left = this.actualRunTimes.get(start.job()).minus(savedProgressOf(start.job()));
				report(start.job(), start.token(), MemberReport.STARTED, now.plus(RESPONSE_DELAY));
				report(start.job(), start.token(), MemberReport.FINISHED, now.plus(RESPONSE_DELAY).plus(left));
			}
			case SchedulingDecision.CheckpointGang checkpoint -> {
				Duration run = Duration.between(this.startTimes.get(checkpoint.job()), now);
				Duration progress = savedProgressOf(checkpoint.job()).plus(run);
				schedule(now.plus(RESPONSE_DELAY),
						new SchedulingEvent.UsageReported(checkpoint.job(), progress, progress, 0));
				report(checkpoint.job(), checkpoint.token(), MemberReport.CHECKPOINTED, now.plus(RESPONSE_DELAY));
			}
			case SchedulingDecision.StopGang stop ->
				report(stop.job(), stop.token(), MemberReport.STOPPED, now.plus(RESPONSE_DELAY));
			case SchedulingDecision.RequeueJob requeue -> this.savedProgress.put(requeue.job(), requeue.keptProgress());
			case SchedulingDecision.EndJob end -> this.outcomes.merge(end.job(), 1, Integer::sum);
			default -> {
				// Workers do not respond to the other decisions.
			}
		}
	}

	private Duration savedProgressOf(JobId job) {
		return this.savedProgress.getOrDefault(job, Duration.ZERO);
	}

	private void report(JobId job, FencingToken token, MemberReport report, Instant at) {
		for (Slot slot : this.placements.get(job).slots()) {
			schedule(at, new SchedulingEvent.MemberReported(job, token, slot.worker(), report));
		}
	}

	private record PlannedEvent(Instant at, long order, SchedulingEvent event) {

	}

}
