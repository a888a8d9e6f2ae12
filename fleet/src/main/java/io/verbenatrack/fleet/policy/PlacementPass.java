package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.fleet.state.JobState;
import io.verbenatrack.fleet.state.StepState;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.ServiceId;

/**
 * A single scheduling pass: decides on one state which waiting tasks start on which
 * workers and which running tasks are preempted.
 */
final class PlacementPass {

	/** A gang of priority 0 that has waited longer may be spread over racks. */
	private static final long SPREAD_AFTER_MILLIS = 3500;

	/**
	 * Without a guarantee, preemption may discard at most this share of the step's work.
	 */
	private static final double MAX_LOSS_SHARE = 0.25;

	private final FleetState state;

	private final Reservations reservations = new Reservations();

	private final Map<String, Integer> rackSizes = new HashMap<>();

	private final FleetTimings timings;

	private final StalledRunMover runMover;

	private final Set<TaskId> stopping;

	private final long nowNanos;

	private final long nowMillis;

	private final Map<ServiceId, List<CandidateWorker>> candidatesByService = new LinkedHashMap<>();

	private final List<FleetCommand.StartRun> starts = new ArrayList<>();

	private final List<FleetEvent.JobWaits> waiting = new ArrayList<>();

	private final Set<TaskId> preempted = new LinkedHashSet<>();

	private final Map<AccountId, Long> guaranteedUse = new HashMap<>();

	PlacementPass(FleetState state, WorkerRegistry registry, FleetTimings timings, StalledRunMover runMover,
			Set<TaskId> stopping, long nowNanos, long nowMillis) {
		this.runMover = runMover;
		this.stopping = stopping;
		this.state = state;
		this.timings = timings;
		this.nowNanos = nowNanos;
		this.nowMillis = nowMillis;
		Duration silenceTimeout = timings.silenceTimeout(registry.workers().size());
		for (TrackedWorker worker : registry.workers()) {
			if (worker.schedulable(nowNanos, silenceTimeout)) {
				this.candidatesByService.computeIfAbsent(worker.report().service(), (service) -> new ArrayList<>())
					.add(candidate(worker));
				this.rackSizes.merge(worker.report().rack(), 1, Integer::sum);
			}
		}
	}

	private CandidateWorker candidate(TrackedWorker worker) {
		CandidateWorker candidate = new CandidateWorker(worker);
		Map<TaskId, Integer> known = this.state.runsOn(worker.incarnation());
		known.forEach((task, run) -> addRunning(candidate, task));
		worker.report()
			.running()
			.stream()
			.filter((run) -> !known.containsKey(run.task()))
			.forEach((run) -> addRunning(candidate, run.task()));
		return candidate;
	}

	private void addRunning(CandidateWorker candidate, TaskId task) {
		Optional<StepState> step = this.state.step(task);
		if (step.isEmpty()) {
			// The resources of an unknown task are not known, so nothing may start beside
			// it.
			candidate.allocate(candidate.free());
			return;
		}
		JobState job = this.state.job(task.job()).orElseThrow();
		int priority = this.state.queueOf(job).map((queue) -> queue.priority()).orElse(0);
		StepSpec spec = step.get().spec();
		boolean stops = this.stopping.contains(task) || this.runMover.isMoving(task);
		double done = spec.estimatedMillis() * candidate.worker().percent(task) / 100.0;
		long remaining = (long) Math.max(0, spec.estimatedMillis() - done);
		int affectedTasks = spec.gang() ? spec.count() : 1;
		// Tasks that already stop cost nothing, so that the preemption plan stays stable.
		double lostWork = stops ? 0 : spec.checkpoints() ? 1 : 1 + done * affectedTasks * PendingStep.weight(spec);
		candidate.addRunning(new CandidateWorker.RunningTask(task, spec.room(), priority, lostWork, remaining));
	}

	void run() {
		countGuaranteedUse();
		for (PendingStep step : PendingStepOrder.sorted(this.state, this::guaranteed, this.nowMillis)) {
			List<CandidateWorker> candidates = this.candidatesByService.getOrDefault(step.queue().service(), List.of());
			if (step.spec().gang()) {
				placeGang(step, candidates);
			}
			else {
				placeTasks(step, candidates);
			}
		}
	}

	private void countGuaranteedUse() {
		for (JobState job : this.state.unfinishedJobs()) {
			if (this.state.queueOf(job).filter((queue) -> queue.priority() == 0).isPresent()) {
				long peakAccelerators = job.plan()
					.steps()
					.stream()
					.mapToLong((step) -> (long) step.count() * step.room().accelerators())
					.max()
					.orElse(0);
				this.guaranteedUse.merge(job.account(), peakAccelerators, Long::sum);
			}
		}
	}

	private boolean guaranteed(PendingStep step) {
		if (step.queue().priority() != 0) {
			return false;
		}
		int guarantee = this.state.configuration()
			.map((configuration) -> configuration.guaranteedAccelerators(step.job().account()))
			.orElse(0);
		return this.guaranteedUse.getOrDefault(step.job().account(), 0L) <= guarantee;
	}

	private long waitedMillis(PendingStep step) {
		return this.nowMillis - step.readyMillis();
	}

	private void placeGang(PendingStep step, Collection<CandidateWorker> candidates) {
		boolean allowSpread = step.queue().priority() == 0 && waitedMillis(step) > SPREAD_AFTER_MILLIS;
		List<CandidateWorker> allowed = candidates.stream()
			.filter((candidate) -> !avoided(step, 0, candidate))
			.toList();
		Optional<Map<Integer, CandidateWorker>> found = new GangPlacer(allowed, this.reservations, this.nowMillis)
			.place(step, allowSpread);
		if (found.isPresent()) {
			int run = step.step().nextGangRun();
			found.get().forEach((index, candidate) -> start(step, index, run, candidate));
		}
		else {
			recordWaiting(step);
			if (!preempt(step, candidates)) {
				this.reservations.reserve(step, candidates, this.nowMillis);
			}
		}
	}

	private void placeTasks(PendingStep step, Collection<CandidateWorker> candidates) {
		Map<CandidateWorker, Integer> used = new HashMap<>();
		boolean allPlaced = true;
		for (int index : step.waiting()) {
			Optional<CandidateWorker> candidate = chooseWorker(step, index, candidates, used);
			if (candidate.isPresent()) {
				used.merge(candidate.get(), 1, Integer::sum);
				start(step, index, step.step().tasks().get(index).run() + 1, candidate.get());
			}
			else {
				allPlaced = false;
				if (step.failedOn(index).isEmpty() && !this.runMover.avoidsAny(step.task(index), false)) {
					// Tasks of a step are alike: without a worker for this one, none fits
					// the rest.
					break;
				}
			}
		}
		if (!allPlaced) {
			recordWaiting(step);
			preempt(step, candidates);
		}
	}

	private Optional<CandidateWorker> chooseWorker(PendingStep step, int index, Collection<CandidateWorker> candidates,
			Map<CandidateWorker, Integer> used) {
		StepSpec spec = step.spec();
		boolean requireDataRack = waitedMillis(step) < spec.estimatedMillis();
		return candidates.stream()
			.filter((candidate) -> candidate.matches(spec) && spec.room().fitsIn(candidate.free()))
			.filter((candidate) -> !candidate.reserved() || step.queue().priority() == 0)
			.filter((candidate) -> this.reservations.allows(candidate, step, this.nowMillis))
			.filter((candidate) -> step.failedOn(index).filter(candidate.worker().incarnation()::equals).isEmpty())
			.filter((candidate) -> !avoided(step, index, candidate))
			.filter((candidate) -> spec.mostOnOneWorker() == 0
					|| tasksOnWorker(step, candidate) + used.getOrDefault(candidate, 0) < spec.mostOnOneWorker())
			.filter((candidate) -> !requireDataRack || onDataRack(spec, candidate))
			.min(Comparator.comparing((CandidateWorker candidate) -> !onDataRack(spec, candidate))
				.thenComparing(CandidateWorker::idle)
				.thenComparingInt((candidate) -> this.rackSizes.get(candidate.rack()))
				.thenComparingInt((candidate) -> candidate.free().accelerators())
				.thenComparingLong((candidate) -> candidate.free().cpuMillis()));
	}

	private boolean avoided(PendingStep step, int index, CandidateWorker candidate) {
		return this.runMover.avoids(step.task(index), step.spec().gang(), candidate.worker().incarnation(),
				this.nowNanos);
	}

	private static boolean onDataRack(StepSpec spec, CandidateWorker candidate) {
		return spec.dataRack().isEmpty() || spec.dataRack().get().equals(candidate.rack());
	}

	private static int tasksOnWorker(PendingStep step, CandidateWorker candidate) {
		return (int) step.step()
			.tasks()
			.stream()
			.filter((task) -> task.runningOn().filter(candidate.worker().incarnation()::equals).isPresent())
			.count();
	}

	private void start(PendingStep step, int index, int run, CandidateWorker candidate) {
		Resources room = step.spec().room();
		candidate.allocate(room);
		this.starts.add(new FleetCommand.StartRun(step.task(index), run, candidate.worker().incarnation()));
	}

	private boolean preempt(PendingStep step, Collection<CandidateWorker> candidates) {
		boolean isGuaranteed = guaranteed(step);
		boolean urgent = step.queue().priority() == 0
				&& CompletionOutlook.of(step, this.nowMillis) == CompletionOutlook.IN_TIME;
		if ((!isGuaranteed && !urgent) || waitedMillis(step) < this.timings.preemptionDelay().toMillis()) {
			return false;
		}
		Optional<PreemptionPlanner.Plan> plan = new PreemptionPlanner(candidates).plan(step)
			.filter((found) -> isGuaranteed || found.loss() <= step.work() * MAX_LOSS_SHARE);
		plan.ifPresent((found) -> {
			this.preempted.addAll(found.stops());
			found.candidates().forEach(CandidateWorker::reserve);
		});
		return plan.isPresent();
	}

	List<FleetCommand.StartRun> starts() {
		return this.starts;
	}

	List<FleetEvent.JobWaits> waiting() {
		return this.waiting;
	}

	private void recordWaiting(PendingStep step) {
		this.waiting.add(new FleetEvent.JobWaits(step.job().job(), step.number(), step.waiting().size(),
				step.spec().room().accelerators(), CompletionOutlook.of(step, this.nowMillis).name()));
	}

	Set<TaskId> preempted() {
		return this.preempted;
	}

}
