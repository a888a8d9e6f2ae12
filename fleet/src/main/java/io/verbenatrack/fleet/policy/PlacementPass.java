package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.verbenatrack.fleet.forecast.Quantile;
import io.verbenatrack.fleet.forecast.RunForecast;
import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.fleet.state.JobState;
import io.verbenatrack.fleet.state.StepState;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.ServiceId;

/**
 * A single scheduling pass: decides on one state which waiting tasks start on which
 * workers and which running tasks are preempted.
 */
final class PlacementPass {

	/** A gang of priority 0 that has waited longer may be spread over racks. */
	private static final long SPREAD_AFTER_MILLIS = 3500;

	/**
	 * Any gang may be spread over racks when it has waited this long while the service
	 * was mostly idle.
	 */
	private static final long IDLE_SPREAD_AFTER_NANOS = Duration.ofSeconds(10).toNanos();

	/**
	 * Without a guarantee, preemption may discard at most this share of the step's work.
	 */
	private static final double MAX_LOSS_SHARE = 0.25;

	private final FleetState state;

	private final Reservations reservations;

	private final Eligibility eligibility;

	private final Map<String, Integer> rackSizes = new HashMap<>();

	private final FleetTimings timings;

	private final RunForecast forecast;

	private final PlacementHistory history;

	private final Set<TaskId> stopping;

	private final Set<JobId> waitingBefore;

	private final long nowNanos;

	private final long nowMillis;

	private final Map<ServiceId, List<CandidateWorker>> candidatesByService = new LinkedHashMap<>();

	private final Map<ServiceId, SpeedTiers> tiersByService = new HashMap<>();

	private final FasterStart fasterStart;

	private final Map<ServiceId, ServiceUse> useByService = new HashMap<>();

	private final Set<TaskId> reserving = new HashSet<>();

	private final List<FleetCommand.StartRun> starts = new ArrayList<>();

	private final Set<JobId> waitingNow = new HashSet<>();

	private final Map<JobId, FleetEvent.JobWaits> waiting = new LinkedHashMap<>();

	private final Set<TaskId> preempted = new LinkedHashSet<>();

	private final Map<AccountId, Long> guaranteedUse = new HashMap<>();

	PlacementPass(FleetState state, WorkerRegistry registry, ZoneAvailability zones, FleetTimings timings,
			RunForecast forecast, PlacementHistory history, Set<TaskId> stopping, Set<JobId> waitingBefore,
			long nowNanos, long nowMillis) {
		this.forecast = forecast;
		this.history = history;
		this.waitingBefore = waitingBefore;
		this.reservations = new Reservations(history.reservationHolds());
		this.eligibility = new Eligibility(history.runMover(), history.waitTimers(), zones.closedRacks(), nowNanos,
				nowMillis);
		this.fasterStart = new FasterStart(this.reservations, nowNanos, nowMillis);
		this.stopping = stopping;
		this.state = state;
		this.timings = timings;
		this.nowNanos = nowNanos;
		this.nowMillis = nowMillis;
		Duration silenceTimeout = timings.silenceTimeout(registry.workers().size());
		for (TrackedWorker worker : registry.workers()) {
			if (worker.schedulable(nowNanos, silenceTimeout) && !zones.evacuated(worker)) {
				this.candidatesByService.computeIfAbsent(worker.report().service(), (service) -> new ArrayList<>())
					.add(candidate(worker));
				this.rackSizes.merge(worker.report().rack(), 1, Integer::sum);
			}
		}
		this.candidatesByService.forEach((service, found) -> {
			this.useByService.put(service, ServiceUse.of(found));
			this.tiersByService.put(service, SpeedTiers.assign(found));
		});
	}

	private CandidateWorker candidate(TrackedWorker worker) {
		CandidateWorker candidate = new CandidateWorker(worker, this.forecast.speed(worker.incarnation()));
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
		boolean stops = this.stopping.contains(task) || this.history.runMover().isMoving(task);
		RunProgress progress = RunProgress.of(this.forecast, job, step.get(), task, candidate.worker());
		double done = progress.doneMillis();
		long remaining = spec.lasting() ? CandidateWorker.RunningTask.NEVER_ENDS
				: progress.remainingMillis(Quantile.CAUTIOUS);
		int affectedTasks = spec.gang() ? spec.count() : 1;
		// Tasks that already stop cost nothing, so that the preemption plan stays stable.
		double lostWork = stops ? 0 : spec.checkpoints() ? 1 : 1 + done * affectedTasks * PendingStep.weight(spec);
		candidate.addRunning(new CandidateWorker.RunningTask(task, spec.room(), priority, lostWork, remaining));
	}

	void run() {
		countGuaranteedUse();
		this.history.waitTimers().beginPass();
		this.history.idleWaitTimers().beginPass();
		for (PendingStep step : PendingStepOrder.sorted(this.state, this.forecast, this::guaranteed, this.nowMillis)) {
			this.eligibility.recordWaiting(step);
			List<CandidateWorker> candidates = this.candidatesByService.getOrDefault(step.queue().service(), List.of());
			if (step.spec().gang()) {
				placeGang(step, candidates);
			}
			else {
				placeTasks(step, candidates);
			}
		}
		this.history.waitTimers().endPass();
		this.history.idleWaitTimers().endPass();
		this.history.reservationHolds().retain(this.reserving);
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
		ServiceUse use = this.useByService.getOrDefault(step.queue().service(), ServiceUse.NONE);
		if (use.mostlyIdle()) {
			this.history.idleWaitTimers().recordWaiting(step.task(0), this.nowNanos);
		}
		List<CandidateWorker> eligible = this.eligibility.forGang(step, candidates);
		List<CandidateWorker> preferred = this.eligibility.preferred(step, eligible);
		SpeedPreference speeds = speeds(step);
		Optional<Map<Integer, CandidateWorker>> found = findPlaces(step, speeds, preferred);
		if (found.isEmpty() && preferred.size() < eligible.size()) {
			found = findPlaces(step, speeds, eligible);
		}
		if (found.isPresent() && waitsForFaster(step, speeds, found.get().values(), eligible, use)) {
			this.reserving.add(step.task(0));
			recordWaiting(step, candidates);
		}
		else if (found.isPresent()) {
			int run = step.step().nextGangRun();
			found.get().forEach((index, candidate) -> start(step, index, run, candidate));
		}
		else {
			this.reserving.add(step.task(0));
			recordWaiting(step, candidates);
			if (!preempt(step, candidates)) {
				this.reservations.reserve(step, eligible, use, this.nowNanos, this.nowMillis, Long.MAX_VALUE);
			}
		}
	}

	private Optional<Map<Integer, CandidateWorker>> findPlaces(PendingStep step, SpeedPreference speeds,
			List<CandidateWorker> eligible) {
		return new GangPlacer(eligible, this.reservations, this.nowMillis).place(step, speeds, mayBeSpread(step));
	}

	private SpeedPreference speeds(PendingStep step) {
		SpeedTiers tiers = this.tiersByService.getOrDefault(step.queue().service(), SpeedTiers.NONE);
		return SpeedPreference.of(step, tiers, this.nowMillis);
	}

	// A guaranteed step starts wherever it can.
	private boolean waitsForFaster(PendingStep step, SpeedPreference speeds, Collection<CandidateWorker> found,
			Collection<CandidateWorker> eligible, ServiceUse use) {
		if (guaranteed(step)) {
			return false;
		}
		long waitedMillis = step.spec().gang()
				? Duration.ofNanos(this.history.waitTimers().waitedNanos(step.task(0), this.nowNanos)).toMillis()
				: waitedMillis(step);
		return this.fasterStart.reserveIfSooner(step, speeds, SpeedPreference.slowestTier(found), eligible, use,
				waitedMillis);
	}

	private boolean mayBeSpread(PendingStep step) {
		if (step.queue().priority() == 0 && waitedMillis(step) > SPREAD_AFTER_MILLIS) {
			return true;
		}
		return this.history.idleWaitTimers().waitedNanos(step.task(0), this.nowNanos) > IDLE_SPREAD_AFTER_NANOS;
	}

	private void placeTasks(PendingStep step, Collection<CandidateWorker> candidates) {
		Map<CandidateWorker, Integer> used = new HashMap<>();
		SpeedPreference speeds = speeds(step);
		boolean allPlaced = true;
		boolean mayWait = true;
		for (int position = 0; position < step.waiting().size(); position++) {
			int index = step.waiting().get(position);
			Optional<CandidateWorker> candidate = chooseWorker(step, index, candidates, speeds, used);
			if (mayWait && candidate.filter((found) -> !speeds.suits(found.tier())).isPresent()) {
				// The other tasks of the step do not find faster workers either.
				mayWait = false;
				if (restWaitsForFaster(step, position, candidate.get(), candidates, speeds)) {
					recordWaiting(step, candidates);
					return;
				}
			}
			if (candidate.isPresent()) {
				used.merge(candidate.get(), 1, Integer::sum);
				start(step, index, step.step().tasks().get(index).run() + 1, candidate.get());
			}
			else {
				allPlaced = false;
				if (!this.eligibility.avoidsAny(step, index)) {
					// Tasks of a step are alike: without a worker for this one, none fits
					// the rest.
					break;
				}
			}
		}
		if (!allPlaced) {
			recordWaiting(step, candidates);
			preempt(step, candidates);
		}
	}

	private boolean restWaitsForFaster(PendingStep step, int position, CandidateWorker found,
			Collection<CandidateWorker> candidates, SpeedPreference speeds) {
		PendingStep rest = step.withWaiting(step.waiting().subList(position, step.waiting().size()));
		ServiceUse use = this.useByService.getOrDefault(step.queue().service(), ServiceUse.NONE);
		boolean waits = waitsForFaster(rest, speeds, List.of(found), this.eligibility.forStep(rest, candidates), use);
		if (waits) {
			this.reserving.add(step.task(0));
		}
		return waits;
	}

	private Optional<CandidateWorker> chooseWorker(PendingStep step, int index, Collection<CandidateWorker> candidates,
			SpeedPreference speeds, Map<CandidateWorker, Integer> used) {
		StepSpec spec = step.spec();
		return candidates.stream()
			.filter((candidate) -> candidate.fits(spec))
			.filter((candidate) -> !candidate.reserved() || step.queue().priority() == 0)
			.filter((candidate) -> this.reservations.allows(candidate, step, this.nowMillis))
			.filter((candidate) -> this.eligibility.mayStart(step, index, candidate))
			.filter((candidate) -> used.getOrDefault(candidate, 0) < Eligibility.placesLeft(step, candidate))
			.min(Comparator.comparing((CandidateWorker candidate) -> this.eligibility.avoids(step, index, candidate))
				.thenComparing((candidate) -> !Eligibility.onDataRack(spec, candidate))
				.thenComparingInt(speeds::rank)
				.thenComparing(CandidateWorker::idle)
				.thenComparingInt((candidate) -> this.rackSizes.get(candidate.rack()))
				.thenComparingInt((candidate) -> candidate.free().accelerators())
				.thenComparingLong((candidate) -> candidate.free().cpuMillis()));
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
		List<CandidateWorker> eligible = this.eligibility.forStep(step, candidates);
		Optional<PreemptionPlanner.Plan> plan = new PreemptionPlanner(eligible).plan(step)
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

	/**
	 * Returns the jobs with a step that waits for room.
	 * @return the jobs
	 */
	Set<JobId> waitingJobs() {
		return this.waitingNow;
	}

	/**
	 * Returns the events of the jobs that did not wait in the previous pass.
	 * @return an event for each of these jobs
	 */
	Collection<FleetEvent.JobWaits> waitEvents() {
		return this.waiting.values();
	}

	private void recordWaiting(PendingStep step, Collection<CandidateWorker> candidates) {
		this.waitingNow.add(step.job().job());
		if (this.waitingBefore.contains(step.job().job())) {
			return;
		}
		List<CandidateWorker> eligible = this.eligibility.forStep(step, candidates);
		long unreserved = eligible.stream()
			.filter((candidate) -> this.reservations.allows(candidate, step, this.nowMillis))
			.count();
		this.waiting.putIfAbsent(step.job().job(),
				new FleetEvent.JobWaits(step.job().job(), step.number(), step.waiting().size(),
						step.spec().room().accelerators(), CompletionOutlook.of(step, this.nowMillis).name(),
						candidates.size(), eligible.size(), (int) unreserved));
	}

	Set<TaskId> preempted() {
		return this.preempted;
	}

}
