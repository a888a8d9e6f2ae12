package io.verbenatrack.scheduling.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntPredicate;
import java.util.function.ToLongFunction;

import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.Slot;
import io.verbenatrack.scheduling.state.AcceleratorMask;
import io.verbenatrack.scheduling.state.GangFit;
import io.verbenatrack.scheduling.state.GangLease;
import io.verbenatrack.scheduling.state.JobRecord;
import io.verbenatrack.scheduling.state.RackRecord;
import io.verbenatrack.scheduling.state.SchedulingState;
import io.verbenatrack.scheduling.state.WorkerRecord;

/**
 * Finds the placement for a gang whose blocking jobs have the lowest cost.
 */
final class BlockedPlacementSearch {

	private final SchedulingState state;

	private final FreeAcceleratorIndex freeIndex;

	private final JobRecord job;

	private final BlockerCost cost;

	private final ToLongFunction<WorkerRecord> excluded;

	private BlockedPlacement best;

	/**
	 * Creates a search, which can be used once.
	 * @param state the state
	 * @param freeIndex provides the accelerators that are withheld for pending evictions
	 * @param job the job that needs accelerators
	 * @param cost the cost of each blocking job, infinite when it must not be evicted
	 * @param excluded the accelerators of each worker that must not be used
	 */
	BlockedPlacementSearch(SchedulingState state, FreeAcceleratorIndex freeIndex, JobRecord job, BlockerCost cost,
			ToLongFunction<WorkerRecord> excluded) {
		this.state = state;
		this.freeIndex = freeIndex;
		this.job = job;
		this.cost = cost;
		this.excluded = excluded;
	}

	Optional<BlockedPlacement> inRegion(GangPlacement region) {
		if (GangFit.spansWorkers(shape())) {
			considerWorkerRuns(region.slots().stream().map(this::worker).toList(), (index) -> true);
			return Optional.ofNullable(this.best);
		}
		for (Slot slot : region.slots()) {
			considerSlots(worker(slot), AcceleratorMask.of(slot));
		}
		return Optional.ofNullable(this.best);
	}

	Optional<BlockedPlacement> anywhere() {
		for (RackRecord rack : this.state.fleet().racks()) {
			if (GangFit.spansWorkers(shape())) {
				considerWorkerRuns(rack.workers(), rack::adjacentToPrevious);
			}
			else {
				rack.workers().forEach((worker) -> considerSlots(worker, -1L));
			}
		}
		return Optional.ofNullable(this.best);
	}

	private GangShape shape() {
		return this.job.spec().shape();
	}

	private WorkerRecord worker(Slot slot) {
		return this.state.fleet().worker(slot.worker()).orElseThrow();
	}

	private void considerSlots(WorkerRecord worker, long within) {
		int length = shape().accelerators();
		long allowed = within & AcceleratorMask.first(worker.spec().accelerators())
				& ~(this.freeIndex.withheld(worker.index()) | this.excluded.applyAsLong(worker));
		long starts = worker.usable() ? AcceleratorMask.runStarts(allowed, length) : 0;
		while (starts != 0) {
			int start = Long.numberOfTrailingZeros(starts);
			Slot slot = new Slot(worker.id(), start, length);
			consider(List.of(worker), new GangPlacement(List.of(slot)));
			starts &= starts - 1;
		}
	}

	private void considerWorkerRuns(List<WorkerRecord> workers, IntPredicate adjacent) {
		for (int first = 0; first < workers.size(); first++) {
			int covered = 0;
			int next = first;
			while (next < workers.size() && covered < shape().accelerators() && canTakeWhole(workers.get(next))
					&& (next == first || adjacent.test(next))) {
				covered += workers.get(next).spec().accelerators();
				next++;
			}
			if (covered >= shape().accelerators()) {
				List<WorkerRecord> run = workers.subList(first, next);
				consider(run, GangFit.acrossWorkers(run, shape()));
			}
		}
	}

	private boolean canTakeWhole(WorkerRecord worker) {
		return worker.usable() && (this.freeIndex.withheld(worker.index()) | this.excluded.applyAsLong(worker)) == 0
				&& GangFit.wholeWorkerAccelerators(worker, shape()) > 0;
	}

	private void consider(List<WorkerRecord> workers, GangPlacement placement) {
		Set<JobRecord> blockers = new LinkedHashSet<>();
		double limit = (this.best != null) ? this.best.cost() : Double.POSITIVE_INFINITY;
		double total = 0;
		double longest = 0;
		for (int index = 0; index < workers.size() && total < limit; index++) {
			total += addBlockers(workers.get(index), placement.slots().get(index), blockers);
		}
		for (JobRecord blocker : blockers) {
			longest = Math.max(longest, this.cost.waitCost(blocker));
		}
		total += longest;
		if (total < limit) {
			this.best = new BlockedPlacement(placement, List.copyOf(blockers), total);
		}
	}

	private double addBlockers(WorkerRecord worker, Slot slot, Set<JobRecord> blockers) {
		boolean whole = GangFit.spansWorkers(shape());
		long mask = whole ? -1L : AcceleratorMask.of(slot);
		int cores = worker.freeCores();
		int memoryGib = worker.freeMemoryGib();
		double total = 0;
		List<JobRecord> others = new ArrayList<>();
		for (JobRecord each : worker.jobs()) {
			if ((AcceleratorMask.of(slotOf(each, worker)) & mask) == 0) {
				others.add(each);
				continue;
			}
			total += blockers.add(each) ? this.cost.evictionCost(each) : 0;
			cores += coresHeldBy(each, worker);
			memoryGib += memoryGibHeldBy(each, worker);
		}
		int neededCores = slot.accelerators() * shape().coresPerAccelerator();
		int neededMemoryGib = slot.accelerators() * shape().memoryGibPerAccelerator();
		others.sort(Comparator.comparingDouble(this.cost::evictionCost));
		for (JobRecord each : others) {
			if (cores >= neededCores && memoryGib >= neededMemoryGib) {
				break;
			}
			total += blockers.add(each) ? this.cost.evictionCost(each) : 0;
			cores += coresHeldBy(each, worker);
			memoryGib += memoryGibHeldBy(each, worker);
		}
		return (cores >= neededCores && memoryGib >= neededMemoryGib) ? total : Double.POSITIVE_INFINITY;
	}

	private static Slot slotOf(JobRecord job, WorkerRecord worker) {
		return job.lease().flatMap((lease) -> lease.member(worker.id())).orElseThrow().slot();
	}

	private static int coresHeldBy(JobRecord job, WorkerRecord worker) {
		return slotOf(job, worker).accelerators() * job.spec().shape().coresPerAccelerator();
	}

	private static int memoryGibHeldBy(JobRecord job, WorkerRecord worker) {
		return slotOf(job, worker).accelerators() * job.spec().shape().memoryGibPerAccelerator();
	}

	// Whether a lease overlaps a placement on at least one worker.
	static boolean overlaps(GangLease lease, GangPlacement placement) {
		for (Slot slot : placement.slots()) {
			boolean same = lease.member(slot.worker())
				.filter((member) -> (AcceleratorMask.of(member.slot()) & AcceleratorMask.of(slot)) != 0)
				.isPresent();
			if (same) {
				return true;
			}
		}
		return false;
	}

}
