package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
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

	private final FleetState state;

	private final Reservations reservations;

	private final Eligibility eligibility;

	private final Map<String, Integer> rackSizes = new HashMap<>();

	private final FleetTimings timings;

	private final RunForecast forecast;

	private final PlacementHistory history;

	private final Set<TaskId> stopping;

	private final long nowNanos;

	private final long nowMillis;

	private final Map<ServiceId, List<CandidateWorker>> candidatesByService = new LinkedHashMap<>();

	private final Map<ServiceId, SpeedTiers> tiersByService = new HashMap<>();

	private final FasterStart fasterStart;

	private final Map<ServiceId, ServiceUse> useByService = new HashMap<>();

	private final Set<TaskId> reserving = new HashSet<>();

	private final List<FleetCommand.StartRun> starts = new ArrayList<>();

	private final List<FleetEvent.JobWaits> waitEvents = new ArrayList<>();

	private final PreemptionPass preemption;

	private final Map<AccountId, Long> guaranteedUse = new HashMap<>();

	PlacementPass(FleetState state, WorkerRegistry registry, WorkerAvailability availability, FleetTimings timings,
			RunForecast forecast, PlacementHistory history, Set<TaskId> stopping, long nowNanos, long nowMillis) {
		this.forecast = forecast;
		this.history = history;
		this.reservations = new Reservations(history.reservationHolds());
		this.eligibility = new Eligibility(history.runMover(), history.waitTimers(), availability.closedRacks(),
				nowNanos, nowMillis);
		this.fasterStart = new FasterStart(this.reservations, nowNanos, nowMillis);
		this.stopping = stopping;
		this.state = state;
		this.timings = timings;
		this.nowNanos = nowNanos;
		this.nowMillis = nowMillis;
		Duration silenceTimeout = timings.silenceTimeout(registry.workers().size());
		for (TrackedWorker worker : registry.workers()) {
			if (worker.schedulable(nowNanos, silenceTimeout) && !availability.closed(worker)) {
				this.candidatesByService.computeIfAbsent(worker.report().service(), (service) -> new ArrayList<>())
					.add(candidate(worker));
				this.rackSizes.merge(worker.report().rack(), 1, Integer::sum);
			}
		}
		this.preemption = new PreemptionPass(state, history.preemptions(), this.candidatesByService.values(), nowNanos);
		this.candidatesByService.forEach((service, found) -> {
			this.useByService.put(service, ServiceUse.of(found));
			this.tiersByService.put(service, SpeedTiers.assign(found));
		});
	}

	private CandidateWorker candidate(TrackedWorker worker) {
		CandidateWorker candidate = new CandidateWorker(worker, this.forecast.speed(worker.incarnation()));
		Map<TaskId, Integer> known = this.state.runsOn(worker.incarnation());
		known.forEach((task, run) -> addRunning(candidate, task, false));
		worker.report()
			.running()
			.stream()
			.filter((run) -> !known.containsKey(run.task()))
			.forEach((run) -> addRunning(candidate, run.task(), true));
		return candidate;
	}

	// A run that the state does not know is stopped in any case.
	private void addRunning(CandidateWorker candidate, TaskId task, boolean unknown) {
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
		boolean stops = unknown || this.stopping.contains(task) || this.history.runMover().isMoving(task);
		RunProgress progress = RunProgress.of(this.forecast, job, step.get(), task, candidate.worker());
		double done = progress.doneMillis();
		long remaining = spec.lasting() ? CandidateWorker.RunningTask.NEVER_ENDS
				: progress.remainingMillis(Quantile.CAUTIOUS);
		int affectedTasks = spec.gang() ? spec.count() : 1;
		double lostWork = spec.checkpoints() ? 0 : done * affectedTasks * PendingStep.weight(spec);
		double doneShare = (spec.checkpoints() || spec.lasting()) ? 0 : done / (done + remaining + 1);
		candidate.addRunning(new CandidateWorker.RunningTask(task, spec.room(), priority, lostWork, remaining,
				spec.gang() ? task.member(0) : task, doneShare, stops));
	}

	void run() {
		countGuaranteedUse();
		this.preemption.holdGuaranteed();
		this.history.waitTimers().beginPass();
		this.history.idleWaitTimers().beginPass();
		this.history.waitLog().beginPass(this.nowNanos);
		for (PendingStep step : PendingStepOrder.sorted(this.state, this.forecast, this::guaranteed, this.nowMillis)) {
			if (!guaranteed(step)) {
				this.preemption.holdOthers();
			}
			this.preemption.release(step);
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
		this.history.waitLog().endPass();
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
			this.preemption.recordStart(step);
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
		if (allPlaced) {
			this.preemption.recordStart(step);
		}
		else {
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
		boolean urgent = PreemptionLimits.endsInTime(step, this.nowMillis);
		if ((!isGuaranteed && !urgent) || waitedMillis(step) < this.timings.preemptionDelay().toMillis()) {
			this.preemption.cancel(step);
			return false;
		}
		return this.preemption.preempt(step, isGuaranteed, this.eligibility.forStep(step, candidates));
	}

	List<FleetCommand.StartRun> starts() {
		return this.starts;
	}

	/**
	 * Returns the events on waiting jobs and on preemptions.
	 * @return the events
	 */
	Collection<FleetEvent> events() {
		List<FleetEvent> events = new ArrayList<>(this.preemption.events());
		events.addAll(this.waitEvents);
		return events;
	}

	private void recordWaiting(PendingStep step, Collection<CandidateWorker> candidates) {
		JobId job = step.job().job();
		if (!this.history.waitLog().recordWaiting(job, this.nowNanos)) {
			return;
		}
		List<CandidateWorker> eligible = this.eligibility.forStep(step, candidates);
		long unreserved = eligible.stream()
			.filter((candidate) -> this.reservations.allows(candidate, step, this.nowMillis))
			.count();
		this.waitEvents.add(new FleetEvent.JobWaits(job, this.history.waitLog().waited(job, this.nowNanos).toMillis(),
				waitReason(step, candidates, eligible, unreserved), step.number(), step.waiting().size(),
				step.spec().room().accelerators(), CompletionOutlook.of(step, this.nowMillis).name(), candidates.size(),
				eligible.size(), (int) unreserved, CapacityHolder.largest(eligible)));
	}

	private WaitReason waitReason(PendingStep step, Collection<CandidateWorker> candidates,
			List<CandidateWorker> eligible, long unreserved) {
		if (candidates.isEmpty()) {
			return WaitReason.NO_WORKERS;
		}
		if (eligible.isEmpty()) {
			return WaitReason.NO_ELIGIBLE_WORKERS;
		}
		if (this.preemption.stopsUnderWay(step)) {
			return WaitReason.STOPS_UNDER_WAY;
		}
		return (unreserved == 0) ? WaitReason.RESERVED : WaitReason.OCCUPIED;
	}

	Set<TaskId> preempted() {
		return this.preemption.stops();
	}

}
