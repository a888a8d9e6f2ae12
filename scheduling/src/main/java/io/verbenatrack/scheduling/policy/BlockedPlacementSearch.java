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

	private final FreeAcceleratorIndex rooms;

	private final JobRecord job;

	private final BlockerCost price;

	private final ToLongFunction<WorkerRecord> closed;

	private BlockedPlacement best;

	/**
	 * Creates a search, which can be used once.
	 * @param state the state
	 * @param rooms provides the accelerators that are withheld for pending evictions
	 * @param job the job that needs accelerators
	 * @param price the cost of each blocking job, infinite when it must not be evicted
	 * @param closed the accelerators of each worker that must not be used
	 */
	BlockedPlacementSearch(SchedulingState state, FreeAcceleratorIndex rooms, JobRecord job, BlockerCost price,
			ToLongFunction<WorkerRecord> closed) {
		this.state = state;
		this.rooms = rooms;
		this.job = job;
		this.price = price;
		this.closed = closed;
	}

	Optional<BlockedPlacement> inRegion(GangPlacement region) {
		if (GangFit.spansWorkers(shape())) {
			tryRuns(region.slots().stream().map(this::worker).toList(), (index) -> true);
			return Optional.ofNullable(this.best);
		}
		for (Slot slot : region.slots()) {
			trySlots(worker(slot), AcceleratorMask.of(slot));
		}
		return Optional.ofNullable(this.best);
	}

	Optional<BlockedPlacement> anywhere() {
		for (RackRecord rack : this.state.fleet().racks()) {
			if (GangFit.spansWorkers(shape())) {
				tryRuns(rack.workers(), rack::adjacentToPrevious);
			}
			else {
				rack.workers().forEach((worker) -> trySlots(worker, -1L));
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

	private void trySlots(WorkerRecord worker, long within) {
		int length = shape().accelerators();
		long allowed = within & AcceleratorMask.first(worker.spec().accelerators())
				& ~(this.rooms.claimed(worker.index()) | this.closed.applyAsLong(worker));
		long starts = worker.usable() ? AcceleratorMask.runStarts(allowed, length) : 0;
		while (starts != 0) {
			int start = Long.numberOfTrailingZeros(starts);
			Slot slot = new Slot(worker.id(), start, length);
			offer(List.of(worker), new GangPlacement(List.of(slot)));
			starts &= starts - 1;
		}
	}

	private void tryRuns(List<WorkerRecord> workers, IntPredicate adjacent) {
		for (int first = 0; first < workers.size(); first++) {
			int covered = 0;
			int next = first;
			while (next < workers.size() && covered < shape().accelerators() && takesWhole(workers.get(next))
					&& (next == first || adjacent.test(next))) {
				covered += workers.get(next).spec().accelerators();
				next++;
			}
			if (covered >= shape().accelerators()) {
				List<WorkerRecord> run = workers.subList(first, next);
				offer(run, GangFit.over(run, shape()));
			}
		}
	}

	private boolean takesWhole(WorkerRecord worker) {
		return worker.usable() && (this.rooms.claimed(worker.index()) | this.closed.applyAsLong(worker)) == 0
				&& GangFit.wholeWorker(worker, shape()) > 0;
	}

	private void offer(List<WorkerRecord> workers, GangPlacement placement) {
		Set<JobRecord> victims = new LinkedHashSet<>();
		double limit = (this.best != null) ? this.best.price() : Double.POSITIVE_INFINITY;
		double total = 0;
		double longest = 0;
		for (int index = 0; index < workers.size() && total < limit; index++) {
			total += addVictims(workers.get(index), placement.slots().get(index), victims);
		}
		for (JobRecord victim : victims) {
			longest = Math.max(longest, this.price.await(victim));
		}
		total += longest;
		if (total < limit) {
			this.best = new BlockedPlacement(placement, List.copyOf(victims), total);
		}
	}

	private double addVictims(WorkerRecord worker, Slot slot, Set<JobRecord> victims) {
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
			total += victims.add(each) ? this.price.leave(each) : 0;
			cores += coresOf(each, worker);
			memoryGib += memoryOf(each, worker);
		}
		int needCores = slot.accelerators() * shape().coresPerAccelerator();
		int needMemory = slot.accelerators() * shape().memoryGibPerAccelerator();
		others.sort(Comparator.comparingDouble(this.price::leave));
		for (JobRecord each : others) {
			if (cores >= needCores && memoryGib >= needMemory) {
				break;
			}
			total += victims.add(each) ? this.price.leave(each) : 0;
			cores += coresOf(each, worker);
			memoryGib += memoryOf(each, worker);
		}
		return (cores >= needCores && memoryGib >= needMemory) ? total : Double.POSITIVE_INFINITY;
	}

	private static Slot slotOf(JobRecord job, WorkerRecord worker) {
		return job.lease().flatMap((lease) -> lease.member(worker.id())).orElseThrow().slot();
	}

	private static int coresOf(JobRecord job, WorkerRecord worker) {
		return slotOf(job, worker).accelerators() * job.spec().shape().coresPerAccelerator();
	}

	private static int memoryOf(JobRecord job, WorkerRecord worker) {
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
