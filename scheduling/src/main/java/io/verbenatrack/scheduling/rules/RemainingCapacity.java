package io.verbenatrack.scheduling.rules;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.Slot;
import io.verbenatrack.scheduling.state.AcceleratorMask;
import io.verbenatrack.scheduling.state.FleetState;
import io.verbenatrack.scheduling.state.GangFit;
import io.verbenatrack.scheduling.state.RackRecord;
import io.verbenatrack.scheduling.state.WorkerRecord;

/**
 * The capacity of each worker that the regions assigned so far leave free.
 */
final class RemainingCapacity {

	private static final int PROBATION_PENALTY = 1_000;

	private final FleetState fleet;

	private final long[] masks;

	private final int[] cores;

	private final int[] memoryGib;

	RemainingCapacity(FleetState fleet) {
		this.fleet = fleet;
		int workers = fleet.workers().size();
		this.masks = new long[workers];
		this.cores = new int[workers];
		this.memoryGib = new int[workers];
		for (WorkerRecord worker : fleet.workers()) {
			boolean usable = worker.usable();
			this.masks[worker.index()] = usable ? AcceleratorMask.first(worker.spec().accelerators()) : 0;
			this.cores[worker.index()] = worker.spec().cores();
			this.memoryGib[worker.index()] = worker.spec().memoryGib();
		}
	}

	int freeAccelerators() {
		int free = 0;
		for (long mask : this.masks) {
			free += Long.bitCount(mask);
		}
		return free;
	}

	// Takes a region. Returns false and takes nothing if part of it is not free.
	boolean take(GangPlacement region, GangShape shape) {
		for (Slot slot : region.slots()) {
			WorkerRecord worker = worker(slot);
			boolean available = (AcceleratorMask.of(slot) & ~this.masks[worker.index()]) == 0;
			if (!available || !hasCoresAndMemory(worker.index(), shape, slot.accelerators())) {
				return false;
			}
		}
		for (Slot slot : region.slots()) {
			change(slot, shape, -1);
		}
		return true;
	}

	void release(GangPlacement region, GangShape shape) {
		for (Slot slot : region.slots()) {
			change(slot, shape, 1);
		}
	}

	private void change(Slot slot, GangShape shape, int sign) {
		int index = worker(slot).index();
		this.masks[index] ^= AcceleratorMask.of(slot);
		this.cores[index] += sign * slot.accelerators() * shape.coresPerAccelerator();
		this.memoryGib[index] += sign * slot.accelerators() * shape.memoryGibPerAccelerator();
	}

	private WorkerRecord worker(Slot slot) {
		return this.fleet.worker(slot.worker()).orElseThrow();
	}

	private boolean hasCoresAndMemory(int index, GangShape shape, int accelerators) {
		return this.cores[index] >= accelerators * shape.coresPerAccelerator()
				&& this.memoryGib[index] >= accelerators * shape.memoryGibPerAccelerator();
	}

	// Returns the candidate regions for a gang, best fit first. Only one of several
	// equivalent workers is included.
	List<GangPlacement> candidates(GangShape shape) {
		List<Candidate> candidates = new ArrayList<>();
		if (GangFit.spansWorkers(shape)) {
			this.fleet.racks().forEach((rack) -> addRuns(rack, shape, candidates));
		}
		else {
			addSlots(shape, candidates);
		}
		candidates.sort(Comparator.comparingInt(Candidate::score));
		return candidates.stream().map(Candidate::placement).toList();
	}

	private void addSlots(GangShape shape, List<Candidate> candidates) {
		Set<EquivalenceKey> seen = new HashSet<>();
		for (WorkerRecord worker : this.fleet.workers()) {
			int index = worker.index();
			EquivalenceKey key = new EquivalenceKey(this.masks[index], this.cores[index], this.memoryGib[index],
					probationPenalty(List.of(worker)));
			if (!hasCoresAndMemory(index, shape, shape.accelerators()) || !seen.add(key)) {
				continue;
			}
			int start = AcceleratorMask.bestStart(this.masks[index], shape.accelerators());
			if (start >= 0) {
				Slot slot = new Slot(worker.id(), start, shape.accelerators());
				int longest = AcceleratorMask.longestRun(this.masks[index]);
				int score = longest + probationPenalty(List.of(worker));
				candidates.add(new Candidate(new GangPlacement(List.of(slot)), score));
			}
		}
	}

	private void addRuns(RackRecord rack, GangShape shape, List<Candidate> candidates) {
		List<WorkerRecord> workers = rack.workers();
		for (int first = 0; first < workers.size(); first++) {
			int length = freeWorkerRun(rack, first, shape);
			boolean startsRun = first == 0 || !rack.adjacentToPrevious(first)
					|| !isEntirelyFree(workers.get(first - 1), shape);
			int needed = workersNeeded(workers, first, length, shape);
			if (needed > 0) {
				List<WorkerRecord> run = workers.subList(first, first + needed);
				int score = length + (startsRun ? 0 : workers.size()) + probationPenalty(run);
				candidates.add(new Candidate(GangFit.acrossWorkers(run, shape), score));
			}
		}
	}

	// Workers on probation are used for regions only when no others fit.
	private static int probationPenalty(List<WorkerRecord> workers) {
		boolean trusted = workers.stream().noneMatch((worker) -> "probation".equals(worker.phase()));
		return trusted ? 0 : PROBATION_PENALTY;
	}

	private int freeWorkerRun(RackRecord rack, int first, GangShape shape) {
		int end = first;
		while (end < rack.workers().size() && isEntirelyFree(rack.workers().get(end), shape)
				&& (end == first || rack.adjacentToPrevious(end))) {
			end++;
		}
		return end - first;
	}

	private boolean isEntirelyFree(WorkerRecord worker, GangShape shape) {
		long all = AcceleratorMask.first(worker.spec().accelerators());
		return all != 0 && this.masks[worker.index()] == all
				&& hasCoresAndMemory(worker.index(), shape, worker.spec().accelerators());
	}

	private static int workersNeeded(List<WorkerRecord> workers, int first, int run, GangShape shape) {
		int covered = 0;
		for (int count = 1; count <= run; count++) {
			covered += workers.get(first + count - 1).spec().accelerators();
			if (covered >= shape.accelerators()) {
				return count;
			}
		}
		return 0;
	}

	// The key by which equivalent workers are recognised.
	private record EquivalenceKey(long mask, int cores, int memoryGib, int probationPenalty) {

	}

	// A candidate region and the size of the free run that it would split; lower is
	// better.
	private record Candidate(GangPlacement placement, int score) {

	}

}
