package io.verbenatrack.scheduling.policy;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;

import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.Urgency;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.rules.Aging;
import io.verbenatrack.scheduling.rules.Objective;
import io.verbenatrack.scheduling.rules.ReclaimCost;
import io.verbenatrack.scheduling.state.DecisionCollector;
import io.verbenatrack.scheduling.state.JobRecord;
import io.verbenatrack.scheduling.state.RegionKey;
import io.verbenatrack.scheduling.state.SchedulingState;
import io.verbenatrack.scheduling.state.WorkerRecord;

/**
 * Places the waiting jobs in the order of their rank, and starts evictions or
 * reservations for those that cannot be placed.
 */
final class PlacementPass {

	/** The minimum time between two computations of the reservations. */
	private static final Duration RESERVATION_INTERVAL = Duration.ofSeconds(5);

	private final SchedulingState state;

	private final RegionManager regions;

	private final FreeAcceleratorIndex freeIndex;

	private final WaitingQueue queue;

	private final PendingEvictions evictions;

	private final Reservations reservations;

	private final PlacementSearch search;

	private final Set<GangShape> unplaceable = new HashSet<>();

	private Instant reservedAt = Instant.EPOCH;

	private Instant now = Instant.EPOCH;

	private DecisionCollector collector;

	PlacementPass(SchedulingState state, RegionManager regions) {
		this.state = state;
		this.regions = regions;
		this.freeIndex = new FreeAcceleratorIndex(state);
		this.queue = new WaitingQueue(state);
		this.evictions = new PendingEvictions(state, this.freeIndex);
		this.reservations = new Reservations(state);
		this.search = new PlacementSearch(state, this.freeIndex, this.reservations);
	}

	// Begins a pass: places the jobs whose evictions have completed and handles the
	// evictions that expired.
	void begin(Instant time, DecisionCollector decisions) {
		this.now = time;
		this.collector = decisions;
		this.reservations.setTime(time);
		this.unplaceable.clear();
		for (PendingEvictions.Eviction eviction : this.evictions.all()) {
			if (this.evictions.isComplete(eviction)) {
				this.evictions.end(eviction);
				place(eviction.job(), eviction.blocked().placement());
			}
		}
		for (PendingEvictions.Eviction eviction : this.evictions.expired(time)) {
			this.evictions.end(eviction);
			if (eviction.job().waiting() && eviction.guaranteed()) {
				evictElsewhere(eviction.job());
			}
		}
	}

	// Tries to place a job that has just been submitted.
	void placeArrived(JobRecord job) {
		tryPlace(job);
	}

	// Places all waiting jobs that can be placed, in the order of their rank.
	void placeAll() {
		List<Ranked> ranked = ranked();
		reserveForLargeGangs(ranked);
		for (Ranked candidate : ranked) {
			WaitingQueue.Group group = candidate.group();
			boolean placed = true;
			while (placed && !group.isEmpty()) {
				placed = tryPlace(highestRanked(group));
			}
		}
	}

	private List<Ranked> ranked() {
		List<Ranked> ranked = new ArrayList<>();
		for (WaitingQueue.Group group : this.queue.groups()) {
			JobRecord job = highestRanked(group);
			ranked.add(new Ranked(group, job, rank(job)));
		}
		ranked.sort(
				Comparator.comparingDouble(Ranked::rank).reversed().thenComparingLong((each) -> each.job().sequence()));
		return ranked;
	}

	private JobRecord highestRanked(WaitingQueue.Group group) {
		JobRecord oldest = group.oldest().job();
		JobRecord shortest = group.shortest().job();
		return (rank(shortest) > rank(oldest)) ? shortest : oldest;
	}

	private double rank(JobRecord job) {
		double rank = Aging.rank(job, this.queue.entry(job).estimateMs(), this.now);
		return (job.spec().urgency() == Urgency.URGENT) ? rank + Integer.MAX_VALUE : rank;
	}

	// Places a job, or starts an eviction for it if its account's guarantee covers it.
	private boolean tryPlace(JobRecord job) {
		if (this.evictions.isEvictingFor(job)) {
			return false;
		}
		if (placeIfFound(job, this.search.withinGuarantee(job, true))) {
			return true;
		}
		if (!this.unplaceable.contains(job.spec().shape())) {
			long denials = this.reservations.denials();
			if (placeIfFound(job, this.search.outsideRegions(job))
					|| placeIfFound(job, this.search.withinGuarantee(job, false))
					|| placeIfFound(job, this.search.anywhere(job))) {
				return true;
			}
			if (this.reservations.denials() == denials) {
				this.unplaceable.add(job.spec().shape());
			}
		}
		else if (placeIfFound(job, this.search.withinGuarantee(job, false))) {
			return true;
		}
		evictForGuarantee(job, this::reclaimCost, true);
		return false;
	}

	private boolean placeIfFound(JobRecord job, Optional<GangPlacement> placement) {
		placement.ifPresent((found) -> place(job, found));
		return placement.isPresent();
	}

	private void place(JobRecord job, GangPlacement placement) {
		this.collector.add(new SchedulingDecision.PlaceGang(job.id(), this.state.nextToken(), placement, this.now));
		if (this.state.regions().containing(job.spec().account(), placement).isEmpty()) {
			this.search.idleRegion(job)
				.filter((idle) -> this.search.isCloseFit(idle, job))
				.ifPresent((idle) -> this.regions.move(idle, placement, this.collector));
		}
	}

	// Starts the cheapest eviction for a job that is covered by its account's guarantee.
	private void evictForGuarantee(JobRecord job, BlockerCost cost, boolean withGrace) {
		Optional<BlockedPlacement> cheapest = Optional.empty();
		for (GangPlacement region : this.state.regions().ofAccount(job.spec().account()).values()) {
			if (region.accelerators() >= job.spec().shape().accelerators()) {
				cheapest = cheaper(cheapest, search(job, cost, (worker) -> 0).inRegion(region));
			}
		}
		Optional<RegionKey> idle = this.search.idleRegion(job);
		if (idle.isPresent()) {
			Optional<BlockedPlacement> elsewhere = search(job, cost,
					(worker) -> this.regions.unavailableTo(idle.get(), worker))
				.anywhere();
			if (cheaper(cheapest, elsewhere) != cheapest
					&& this.regions.move(idle.get(), elsewhere.get().placement(), this.collector)) {
				cheapest = elsewhere;
			}
		}
		if (cheapest.isEmpty() && job.spec().urgency() == Urgency.URGENT && fitsGuaranteedTotal(job)) {
			cheapest = search(job, cost, (worker) -> 0).anywhere();
		}
		cheapest.ifPresent((blocked) -> this.evictions.begin(job, blocked, true, withGrace, this.now, this.collector));
	}

	// Retries after an eviction timed out, without a checkpoint grace period. Prefers
	// accelerators whose jobs are not yet being evicted.
	private void evictElsewhere(JobRecord job) {
		evictForGuarantee(job, (victim) -> victim.releasing() ? Double.POSITIVE_INFINITY : reclaimCost(victim), false);
		if (!this.evictions.isEvictingFor(job)) {
			evictForGuarantee(job, this::reclaimCost, false);
		}
	}

	private double reclaimCost(JobRecord victim) {
		return ReclaimCost.of(this.state, victim, this.now);
	}

	private BlockedPlacementSearch search(JobRecord job, BlockerCost cost, ToLongFunction<WorkerRecord> excluded) {
		return new BlockedPlacementSearch(this.state, this.freeIndex, job, cost, excluded);
	}

	private static Optional<BlockedPlacement> cheaper(Optional<BlockedPlacement> first,
			Optional<BlockedPlacement> second) {
		if (first.isEmpty() || second.isEmpty()) {
			return first.isPresent() ? first : second;
		}
		return (second.get().cost() < first.get().cost()) ? second : first;
	}

	// Whether the account would hold at most its guaranteed total with this job,
	// wherever the accelerators lie.
	private boolean fitsGuaranteedTotal(JobRecord job) {
		int guaranteed = 0;
		for (GangPlacement region : this.state.regions().ofAccount(job.spec().account()).values()) {
			guaranteed += region.accelerators();
		}
		int held = job.spec().shape().accelerators();
		for (JobRecord each : this.state.jobs().holding()) {
			boolean sameAccount = each.spec().account().equals(job.spec().account());
			held += sameAccount ? each.spec().shape().accelerators() : 0;
		}
		return held <= guaranteed;
	}

	private void reserveForLargeGangs(List<Ranked> ranked) {
		if (Duration.between(this.reservedAt, this.now).compareTo(RESERVATION_INTERVAL) < 0) {
			return;
		}
		this.reservedAt = this.now;
		this.reservations.clear();
		int limit = Objective.maximumReservations(this.state.declarations().defaults());
		for (Ranked candidate : ranked) {
			JobRecord job = candidate.job();
			if (this.reservations.all().size() >= limit) {
				return;
			}
			if (Aging.isLarge(job) && job.waiting() && !this.evictions.isEvictingFor(job) && !tryPlace(job)
					&& !this.evictions.isEvictingFor(job)) {
				reserve(job);
			}
		}
	}

	private void reserve(JobRecord job) {
		EarliestPlacement earliest = new EarliestPlacement(this.state, this.freeIndex, job, this.now);
		Optional<BlockedPlacement> blocked = earliest.find(this.reservations);
		if (blocked.isEmpty()) {
			return;
		}
		Duration readyIn = earliest.readyIn(blocked.get());
		Duration waited = Duration.between(job.waitingSince(), this.now);
		boolean withinDelay = waited
			.compareTo(Objective.defragmentationDelay(this.state.declarations().defaults())) < 0;
		if (readyIn.isZero() && !withinDelay) {
			this.evictions.begin(job, blocked.get(), false, true, this.now, this.collector);
		}
		else {
			this.reservations.add(job, blocked.get(), readyIn);
		}
	}

	// A group with its highest-ranked job.
	private record Ranked(WaitingQueue.Group group, JobRecord job, double rank) {

	}

}
