package io.verbenatrack.scheduling.policy;

import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntPredicate;

import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.Slot;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.scheduling.JobSnapshot;
import io.verbenatrack.scheduling.state.AcceleratorMask;
import io.verbenatrack.scheduling.state.GangFit;
import io.verbenatrack.scheduling.state.JobRecord;
import io.verbenatrack.scheduling.state.RackRecord;
import io.verbenatrack.scheduling.state.RegionKey;
import io.verbenatrack.scheduling.state.SchedulingState;
import io.verbenatrack.scheduling.state.WorkerRecord;

/**
 * Finds free adjacent accelerators by best fit, preferring workers whose jobs are alike
 * in being checkpointable.
 */
final class PlacementSearch {

	/**
	 * Limits the workers scored per run length, so that a search does not visit a whole
	 * large fleet.
	 */
	private static final int MAXIMUM_CANDIDATES = 24;

	/** A job that failed on more workers than this may be placed on any of them again. */
	private static final int MAXIMUM_AVOIDED = 3;

	private static final int MAXIMUM_REGION_FACTOR = 2;

	private final SchedulingState state;

	private final FreeAcceleratorIndex rooms;

	private final Reservations reservations;

	PlacementSearch(SchedulingState state, FreeAcceleratorIndex rooms, Reservations reservations) {
		this.state = state;
		this.rooms = rooms;
		this.reservations = reservations;
	}

	// Returns a free placement within a region of the job's account.
	Optional<GangPlacement> withinGuarantee(JobRecord job, boolean tightOnly) {
		GangPlacement best = null;
		int bestLeft = Integer.MAX_VALUE;
		for (GangPlacement region : this.state.regions().of(job.spec().account()).values()) {
			if (region.accelerators() < job.spec().shape().accelerators()
					|| (tightOnly && !isTight(region, job) && !usedByAccount(job, region))) {
				continue;
			}
			Optional<GangPlacement> found = inRegion(job, region);
			int left = found.map((placement) -> freeIn(region)).orElse(Integer.MAX_VALUE);
			if (left < bestLeft) {
				best = found.get();
				bestLeft = left;
			}
		}
		return Optional.ofNullable(best);
	}

	private int freeIn(GangPlacement region) {
		int free = 0;
		for (Slot slot : region.slots()) {
			free += Long.bitCount(AcceleratorMask.of(slot) & this.rooms.free().mask(worker(slot)));
		}
		return free;
	}

	private Optional<GangPlacement> inRegion(JobRecord job, GangPlacement region) {
		List<WorkerRecord> workers = region.slots().stream().map(this::worker).toList();
		if (GangFit.spansWorkers(job.spec().shape())) {
			return firstRun(job, workers, this.rooms.free(), (index) -> true);
		}
		Slot best = null;
		int bestLeft = Integer.MAX_VALUE;
		for (int index = 0; index < workers.size(); index++) {
			WorkerRecord worker = workers.get(index);
			long mask = this.rooms.free().mask(worker) & AcceleratorMask.of(region.slots().get(index));
			int start = AcceleratorMask.bestStart(mask, job.spec().shape().accelerators());
			if (start >= 0 && Long.bitCount(mask) < bestLeft && fits(worker, job.spec().shape())) {
				best = new Slot(worker.id(), start, job.spec().shape().accelerators());
				bestLeft = Long.bitCount(mask);
			}
		}
		return Optional.ofNullable(best).map((slot) -> new GangPlacement(List.of(slot)));
	}

	private WorkerRecord worker(Slot slot) {
		return this.state.fleet().worker(slot.worker()).orElseThrow();
	}

	private static boolean fits(WorkerRecord worker, GangShape shape) {
		return GangFit.hasCoresAndMemory(worker, shape, shape.accelerators());
	}

	// Returns a free placement outside all regions.
	Optional<GangPlacement> outsideRegions(JobRecord job) {
		return in(job, this.rooms.open());
	}

	// Returns a free placement anywhere, including the regions of other accounts.
	Optional<GangPlacement> borrowed(JobRecord job) {
		return in(job, this.rooms.free());
	}

	boolean isTight(RegionKey key, JobRecord job) {
		return isTight(this.state.regions().region(key).orElseThrow(), job);
	}

	// Whether the region is at most twice as large as the job. A small job in a much
	// larger
	// region would block the guaranteed gang of that region.
	private static boolean isTight(GangPlacement region, JobRecord job) {
		return region.accelerators() <= MAXIMUM_REGION_FACTOR * job.spec().shape().accelerators();
	}

	private Optional<GangPlacement> in(JobRecord job, FreeAcceleratorIndex.FreeSet room) {
		return GangFit.spansWorkers(job.spec().shape()) ? wholeWorkers(job, room) : oneWorker(job, room);
	}

	private Optional<GangPlacement> oneWorker(JobRecord job, FreeAcceleratorIndex.FreeSet room) {
		GangShape shape = job.spec().shape();
		Set<WorkerId> avoided = avoided(job);
		for (int run = shape.accelerators(); run <= AcceleratorMask.MAXIMUM_ACCELERATORS; run++) {
			Optional<WorkerRecord> worker = bestWithRun(job, room, room.withLongestRun(run), avoided);
			if (worker.isPresent()) {
				int start = AcceleratorMask.bestStart(room.mask(worker.get()), shape.accelerators());
				return Optional
					.of(new GangPlacement(List.of(new Slot(worker.get().id(), start, shape.accelerators()))));
			}
		}
		return Optional.empty();
	}

	private Optional<WorkerRecord> bestWithRun(JobRecord job, FreeAcceleratorIndex.FreeSet room, BitSet workers,
			Set<WorkerId> avoided) {
		WorkerRecord best = null;
		int bestScore = Integer.MAX_VALUE;
		int seen = 0;
		for (int index = workers.nextSetBit(0); index >= 0
				&& seen < MAXIMUM_CANDIDATES; index = workers.nextSetBit(index + 1)) {
			WorkerRecord worker = this.rooms.fleet().workerAt(index);
			if (!fits(worker, job.spec().shape()) || avoided.contains(worker.id())
					|| !this.reservations.allows(worker, job)) {
				continue;
			}
			seen++;
			int score = score(job, room, worker);
			if (score < bestScore) {
				best = worker;
				bestScore = score;
			}
		}
		return Optional.ofNullable(best);
	}

	// Lower is better. Preserves long runs of free workers in a rack, and groups jobs
	// that
	// cannot be moved on the same workers.
	private int score(JobRecord job, FreeAcceleratorIndex.FreeSet room, WorkerRecord worker) {
		RackRecord rack = this.rooms.fleet().rackOf(worker);
		int score = room.isWhole(worker) ? room.longestWholeRun(rack) * 16 : 0;
		for (JobRecord neighbour : worker.jobs()) {
			boolean alike = neighbour.spec().checkpointable() == job.spec().checkpointable();
			score += alike ? 0 : 1;
		}
		return score;
	}

	private static Set<WorkerId> avoided(JobRecord job) {
		if (job.failures().isEmpty()) {
			return Set.of();
		}
		Set<WorkerId> workers = new HashSet<>();
		for (JobSnapshot.Failure failure : job.failures()) {
			workers.add(failure.worker());
		}
		return (workers.size() <= MAXIMUM_AVOIDED) ? workers : Set.of();
	}

	private Optional<GangPlacement> wholeWorkers(JobRecord job, FreeAcceleratorIndex.FreeSet room) {
		RackRecord best = null;
		int bestRun = Integer.MAX_VALUE;
		for (RackRecord rack : this.rooms.fleet().racks()) {
			int run = room.longestWholeRun(rack);
			boolean mayFit = run * AcceleratorMask.MAXIMUM_ACCELERATORS >= job.spec().shape().accelerators();
			if (mayFit && run < bestRun && firstRun(job, rack.workers(), room, rack::adjacentToPrevious).isPresent()) {
				best = rack;
				bestRun = run;
			}
		}
		if (best == null) {
			return Optional.empty();
		}
		return firstRun(job, best.workers(), room, best::adjacentToPrevious);
	}

	private Optional<GangPlacement> firstRun(JobRecord job, List<WorkerRecord> workers,
			FreeAcceleratorIndex.FreeSet room, IntPredicate adjacent) {
		GangShape shape = job.spec().shape();
		Set<WorkerId> avoided = avoided(job);
		int first = 0;
		int covered = 0;
		for (int index = 0; index < workers.size(); index++) {
			WorkerRecord worker = workers.get(index);
			boolean takes = "ready".equals(worker.phase()) && room.isWhole(worker)
					&& GangFit.wholeWorker(worker, shape) > 0 && !avoided.contains(worker.id())
					&& this.reservations.allows(worker, job);
			if (!takes) {
				covered = 0;
				continue;
			}
			if (covered == 0 || !adjacent.test(index)) {
				first = index;
				covered = 0;
			}
			covered += worker.spec().accelerators();
			if (covered >= shape.accelerators()) {
				return Optional.of(GangFit.over(workers.subList(first, index + 1), shape));
			}
		}
		return Optional.empty();
	}

	// Returns a region that is large enough for the job and in which the account has no
	// work.
	Optional<RegionKey> idleRegion(JobRecord job) {
		for (Map.Entry<RegionKey, GangPlacement> entry : this.state.regions().of(job.spec().account()).entrySet()) {
			boolean large = entry.getValue().accelerators() >= job.spec().shape().accelerators();
			if (large && !usedByAccount(job, entry.getValue())) {
				return Optional.of(entry.getKey());
			}
		}
		return Optional.empty();
	}

	private boolean usedByAccount(JobRecord job, GangPlacement region) {
		for (Slot slot : region.slots()) {
			for (JobRecord each : worker(slot).jobs()) {
				boolean own = each.spec().account().equals(job.spec().account());
				if (own && BlockedPlacementSearch.overlaps(each.lease().orElseThrow(), region)) {
					return true;
				}
			}
		}
		return false;
	}

}
