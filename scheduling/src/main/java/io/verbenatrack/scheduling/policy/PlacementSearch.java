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
	private static final int MAXIMUM_AVOIDED_WORKERS = 3;

	private static final int MAXIMUM_CLOSE_FIT_RATIO = 2;

	private final SchedulingState state;

	private final FreeAcceleratorIndex freeIndex;

	private final Reservations reservations;

	PlacementSearch(SchedulingState state, FreeAcceleratorIndex freeIndex, Reservations reservations) {
		this.state = state;
		this.freeIndex = freeIndex;
		this.reservations = reservations;
	}

	// Returns a free placement within a region of the job's account.
	Optional<GangPlacement> withinGuarantee(JobRecord job, boolean closeFitOnly) {
		GangPlacement best = null;
		int bestLeft = Integer.MAX_VALUE;
		for (GangPlacement region : this.state.regions().ofAccount(job.spec().account()).values()) {
			if (region.accelerators() < job.spec().shape().accelerators()
					|| (closeFitOnly && !isCloseFit(region, job) && !usedByAccount(job, region))) {
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
			free += Long.bitCount(AcceleratorMask.of(slot) & this.freeIndex.free().mask(worker(slot)));
		}
		return free;
	}

	private Optional<GangPlacement> inRegion(JobRecord job, GangPlacement region) {
		List<WorkerRecord> workers = region.slots().stream().map(this::worker).toList();
		if (GangFit.spansWorkers(job.spec().shape())) {
			return firstRun(job, workers, this.freeIndex.free(), (index) -> true);
		}
		Slot best = null;
		int bestLeft = Integer.MAX_VALUE;
		for (int index = 0; index < workers.size(); index++) {
			WorkerRecord worker = workers.get(index);
			long mask = this.freeIndex.free().mask(worker) & AcceleratorMask.of(region.slots().get(index));
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
		return find(job, this.freeIndex.outsideRegions());
	}

	// Returns a free placement anywhere, including the regions of other accounts.
	Optional<GangPlacement> anywhere(JobRecord job) {
		return find(job, this.freeIndex.free());
	}

	boolean isCloseFit(RegionKey key, JobRecord job) {
		return isCloseFit(this.state.regions().region(key).orElseThrow(), job);
	}

	// Whether the region is at most twice as large as the job. A small job in a much
	// larger region would block the guaranteed gang of that region.
	private static boolean isCloseFit(GangPlacement region, JobRecord job) {
		return region.accelerators() <= MAXIMUM_CLOSE_FIT_RATIO * job.spec().shape().accelerators();
	}

	private Optional<GangPlacement> find(JobRecord job, FreeAcceleratorIndex.FreeSet freeSet) {
		return GangFit.spansWorkers(job.spec().shape()) ? onWholeWorkers(job, freeSet) : onOneWorker(job, freeSet);
	}

	private Optional<GangPlacement> onOneWorker(JobRecord job, FreeAcceleratorIndex.FreeSet freeSet) {
		GangShape shape = job.spec().shape();
		Set<WorkerId> avoided = failedWorkers(job);
		for (int run = shape.accelerators(); run <= AcceleratorMask.MAXIMUM_ACCELERATORS; run++) {
			Optional<WorkerRecord> worker = bestWithRun(job, freeSet, freeSet.withLongestRun(run), avoided);
			if (worker.isPresent()) {
				int start = AcceleratorMask.bestStart(freeSet.mask(worker.get()), shape.accelerators());
				return Optional
					.of(new GangPlacement(List.of(new Slot(worker.get().id(), start, shape.accelerators()))));
			}
		}
		return Optional.empty();
	}

	private Optional<WorkerRecord> bestWithRun(JobRecord job, FreeAcceleratorIndex.FreeSet freeSet, BitSet workers,
			Set<WorkerId> avoided) {
		WorkerRecord best = null;
		int bestScore = Integer.MAX_VALUE;
		int seen = 0;
		for (int index = workers.nextSetBit(0); index >= 0
				&& seen < MAXIMUM_CANDIDATES; index = workers.nextSetBit(index + 1)) {
			WorkerRecord worker = this.freeIndex.fleet().workerAt(index);
			if (!fits(worker, job.spec().shape()) || avoided.contains(worker.id())
					|| !this.reservations.allows(worker, job)) {
				continue;
			}
			seen++;
			int score = score(job, freeSet, worker);
			if (score < bestScore) {
				best = worker;
				bestScore = score;
			}
		}
		return Optional.ofNullable(best);
	}

	// Lower is better. Preserves long runs of free workers in a rack, and groups jobs
	// that cannot be moved on the same workers.
	private int score(JobRecord job, FreeAcceleratorIndex.FreeSet freeSet, WorkerRecord worker) {
		RackRecord rack = this.freeIndex.fleet().rackOf(worker);
		int score = freeSet.isEntirelyFree(worker) ? freeSet.longestFreeWorkerRun(rack) * 16 : 0;
		for (JobRecord neighbour : worker.jobs()) {
			boolean sameMobility = neighbour.spec().checkpointable() == job.spec().checkpointable();
			score += sameMobility ? 0 : 1;
		}
		return score;
	}

	private static Set<WorkerId> failedWorkers(JobRecord job) {
		if (job.failures().isEmpty()) {
			return Set.of();
		}
		Set<WorkerId> workers = new HashSet<>();
		for (JobSnapshot.Failure failure : job.failures()) {
			workers.add(failure.worker());
		}
		return (workers.size() <= MAXIMUM_AVOIDED_WORKERS) ? workers : Set.of();
	}

	private Optional<GangPlacement> onWholeWorkers(JobRecord job, FreeAcceleratorIndex.FreeSet freeSet) {
		RackRecord best = null;
		int bestRun = Integer.MAX_VALUE;
		for (RackRecord rack : this.freeIndex.fleet().racks()) {
			int run = freeSet.longestFreeWorkerRun(rack);
			boolean mayFit = run * AcceleratorMask.MAXIMUM_ACCELERATORS >= job.spec().shape().accelerators();
			if (mayFit && run < bestRun
					&& firstRun(job, rack.workers(), freeSet, rack::adjacentToPrevious).isPresent()) {
				best = rack;
				bestRun = run;
			}
		}
		if (best == null) {
			return Optional.empty();
		}
		return firstRun(job, best.workers(), freeSet, best::adjacentToPrevious);
	}

	private Optional<GangPlacement> firstRun(JobRecord job, List<WorkerRecord> workers,
			FreeAcceleratorIndex.FreeSet freeSet, IntPredicate adjacent) {
		GangShape shape = job.spec().shape();
		Set<WorkerId> avoided = failedWorkers(job);
		int first = 0;
		int covered = 0;
		for (int index = 0; index < workers.size(); index++) {
			WorkerRecord worker = workers.get(index);
			boolean usable = "ready".equals(worker.phase()) && freeSet.isEntirelyFree(worker)
					&& GangFit.wholeWorkerAccelerators(worker, shape) > 0 && !avoided.contains(worker.id())
					&& this.reservations.allows(worker, job);
			if (!usable) {
				covered = 0;
				continue;
			}
			if (covered == 0 || !adjacent.test(index)) {
				first = index;
				covered = 0;
			}
			covered += worker.spec().accelerators();
			if (covered >= shape.accelerators()) {
				return Optional.of(GangFit.acrossWorkers(workers.subList(first, index + 1), shape));
			}
		}
		return Optional.empty();
	}

	// Returns a region that is large enough for the job and in which the account has no
	// work.
	Optional<RegionKey> idleRegion(JobRecord job) {
		for (Map.Entry<RegionKey, GangPlacement> entry : this.state.regions()
			.ofAccount(job.spec().account())
			.entrySet()) {
			boolean largeEnough = entry.getValue().accelerators() >= job.spec().shape().accelerators();
			if (largeEnough && !usedByAccount(job, entry.getValue())) {
				return Optional.of(entry.getKey());
			}
		}
		return Optional.empty();
	}

	private boolean usedByAccount(JobRecord job, GangPlacement region) {
		for (Slot slot : region.slots()) {
			for (JobRecord each : worker(slot).jobs()) {
				boolean sameAccount = each.spec().account().equals(job.spec().account());
				if (sameAccount && BlockedPlacementSearch.overlaps(each.lease().orElseThrow(), region)) {
					return true;
				}
			}
		}
		return false;
	}

}
