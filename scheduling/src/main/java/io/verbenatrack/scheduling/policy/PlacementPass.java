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

	private static final Duration RESERVATION_INTERVAL = Duration.ofSeconds(5);

	private final SchedulingState state;

	private final RegionManager regions;

	private final FreeAcceleratorIndex rooms;

	private final WaitingQueue queue;

	private final PendingEvictions claims;

	private final Reservations reservations;

	private final PlacementSearch search;

	private final Set<GangShape> unplaceable = new HashSet<>();

	private Instant reservedAt = Instant.EPOCH;

	private Instant now = Instant.EPOCH;

	private DecisionCollector log;

	PlacementPass(SchedulingState state, RegionManager regions) {
		this.state = state;
		this.regions = regions;
		this.rooms = new FreeAcceleratorIndex(state);
		this.queue = new WaitingQueue(state);
		this.claims = new PendingEvictions(state, this.rooms);
		this.reservations = new Reservations(state);
		this.search = new PlacementSearch(state, this.rooms, this.reservations);
	}

	// Begins a pass: places the jobs whose evictions have completed and handles the
	// evictions that expired.
	void begin(Instant time, DecisionCollector decisions) {
		this.now = time;
		this.log = decisions;
		this.reservations.setTime(time);
		this.unplaceable.clear();
		for (PendingEvictions.Eviction claim : this.claims.all()) {
			if (this.claims.isClear(claim)) {
				this.claims.end(claim);
				place(claim.job(), claim.window().placement());
			}
		}
		for (PendingEvictions.Eviction claim : this.claims.expired(time)) {
			this.claims.end(claim);
			if (claim.job().waiting() && claim.bounded()) {
				clearOthers(claim.job());
			}
		}
	}

	// Tries to place a job that has just been submitted.
	void placeArrived(JobRecord job) {
		attempt(job);
	}

	// Places all waiting jobs that can be placed, in the order of their rank.
	void placeAll() {
		List<Ranked> ranked = ranked();
		reserveForHeads(ranked);
		for (Ranked candidate : ranked) {
			WaitingQueue.Group group = candidate.group();
			boolean placed = true;
			while (placed && !group.isEmpty()) {
				placed = attempt(best(group));
			}
		}
	}

	private List<Ranked> ranked() {
		List<Ranked> ranked = new ArrayList<>();
		for (WaitingQueue.Group group : this.queue.groups()) {
			JobRecord job = best(group);
			ranked.add(new Ranked(group, job, rank(job)));
		}
		ranked.sort(
				Comparator.comparingDouble(Ranked::rank).reversed().thenComparingLong((each) -> each.job().sequence()));
		return ranked;
	}

	private JobRecord best(WaitingQueue.Group group) {
		JobRecord oldest = group.oldest().job();
		JobRecord shortest = group.shortest().job();
		return (rank(shortest) > rank(oldest)) ? shortest : oldest;
	}

	private double rank(JobRecord job) {
		double rank = Aging.rank(job, this.queue.entry(job).estimateMs(), this.now);
		return (job.spec().urgency() == Urgency.URGENT) ? rank + Integer.MAX_VALUE : rank;
	}

	// Places a job, or starts an eviction for it if its account's guarantee covers it.
	private boolean attempt(JobRecord job) {
		if (this.claims.isClaiming(job)) {
			return false;
		}
		if (placeIn(job, this.search.withinGuarantee(job, true))) {
			return true;
		}
		if (!this.unplaceable.contains(job.spec().shape())) {
			long denials = this.reservations.denials();
			if (placeIn(job, this.search.outsideRegions(job)) || placeIn(job, this.search.withinGuarantee(job, false))
					|| placeIn(job, this.search.borrowed(job))) {
				return true;
			}
			if (this.reservations.denials() == denials) {
				this.unplaceable.add(job.spec().shape());
			}
		}
		else if (placeIn(job, this.search.withinGuarantee(job, false))) {
			return true;
		}
		clearForGuarantee(job, this::price, true);
		return false;
	}

	private boolean placeIn(JobRecord job, Optional<GangPlacement> placement) {
		placement.ifPresent((found) -> place(job, found));
		return placement.isPresent();
	}

	private void place(JobRecord job, GangPlacement placement) {
		this.log.add(new SchedulingDecision.PlaceGang(job.id(), this.state.nextToken(), placement, this.now));
		if (this.state.regions().covering(job.spec().account(), placement).isEmpty()) {
			this.search.idleRegion(job)
				.filter((idle) -> this.search.isTight(idle, job))
				.ifPresent((idle) -> this.regions.move(idle, placement, this.log));
		}
	}

	// Starts the cheapest eviction for a job that is covered by its account's guarantee.
	private void clearForGuarantee(JobRecord job, BlockerCost price, boolean withGrace) {
		Optional<BlockedPlacement> cheapest = Optional.empty();
		for (GangPlacement region : this.state.regions().of(job.spec().account()).values()) {
			if (region.accelerators() >= job.spec().shape().accelerators()) {
				cheapest = cheaper(cheapest, search(job, price, (worker) -> 0).inRegion(region));
			}
		}
		Optional<RegionKey> idle = this.search.idleRegion(job);
		if (idle.isPresent()) {
			Optional<BlockedPlacement> elsewhere = search(job, price,
					(worker) -> this.regions.closedTo(idle.get(), worker))
				.anywhere();
			if (cheaper(cheapest, elsewhere) != cheapest
					&& this.regions.move(idle.get(), elsewhere.get().placement(), this.log)) {
				cheapest = elsewhere;
			}
		}
		if (cheapest.isEmpty() && job.spec().urgency() == Urgency.URGENT && isEntitled(job)) {
			cheapest = search(job, price, (worker) -> 0).anywhere();
		}
		cheapest.ifPresent((window) -> this.claims.begin(job, window, true, withGrace, this.now, this.log));
	}

	// Retries after an eviction timed out, without a checkpoint grace period. Prefers
	// accelerators whose jobs are not yet being evicted.
	private void clearOthers(JobRecord job) {
		clearForGuarantee(job, (victim) -> victim.leaving() ? Double.POSITIVE_INFINITY : price(victim), false);
		if (!this.claims.isClaiming(job)) {
			clearForGuarantee(job, this::price, false);
		}
	}

	private double price(JobRecord victim) {
		return ReclaimCost.price(this.state, victim, this.now);
	}

	private BlockedPlacementSearch search(JobRecord job, BlockerCost price, ToLongFunction<WorkerRecord> closed) {
		return new BlockedPlacementSearch(this.state, this.rooms, job, price, closed);
	}

	private static Optional<BlockedPlacement> cheaper(Optional<BlockedPlacement> first,
			Optional<BlockedPlacement> second) {
		if (first.isEmpty() || second.isEmpty()) {
			return first.isPresent() ? first : second;
		}
		return (second.get().price() < first.get().price()) ? second : first;
	}

	// Whether the account would hold at most its guaranteed total with this job, wherever
	// the accelerators lie.
	private boolean isEntitled(JobRecord job) {
		int guaranteed = 0;
		for (GangPlacement region : this.state.regions().of(job.spec().account()).values()) {
			guaranteed += region.accelerators();
		}
		int held = job.spec().shape().accelerators();
		for (JobRecord each : this.state.jobs().holding()) {
			boolean own = each.spec().account().equals(job.spec().account());
			held += own ? each.spec().shape().accelerators() : 0;
		}
		return held <= guaranteed;
	}

	private void reserveForHeads(List<Ranked> ranked) {
		if (Duration.between(this.reservedAt, this.now).compareTo(RESERVATION_INTERVAL) < 0) {
			return;
		}
		this.reservedAt = this.now;
		this.reservations.clear();
		int limit = Objective.reservations(this.state.declarations().defaults());
		for (Ranked candidate : ranked) {
			JobRecord job = candidate.job();
			if (this.reservations.all().size() >= limit) {
				return;
			}
			if (Aging.isLarge(job) && job.waiting() && !this.claims.isClaiming(job) && !attempt(job)
					&& !this.claims.isClaiming(job)) {
				reserve(job);
			}
		}
	}

	private void reserve(JobRecord job) {
		EarliestPlacement head = new EarliestPlacement(this.state, this.rooms, job, this.now);
		Optional<BlockedPlacement> window = head.find(this.reservations);
		if (window.isEmpty()) {
			return;
		}
		Duration readyIn = head.readyIn(window.get());
		Duration waited = Duration.between(job.waitingSince(), this.now);
		boolean patient = waited.compareTo(Objective.patience(this.state.declarations().defaults())) < 0;
		if (readyIn.isZero() && !patient) {
			this.claims.begin(job, window.get(), false, true, this.now, this.log);
		}
		else {
			this.reservations.add(job, window.get(), readyIn);
		}
	}

	// A group with its highest-ranked job.
	private record Ranked(WaitingQueue.Group group, JobRecord job, double rank) {

	}

}
