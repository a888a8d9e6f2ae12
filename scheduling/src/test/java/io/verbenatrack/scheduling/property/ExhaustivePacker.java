package io.verbenatrack.scheduling.property;

import java.util.Comparator;
import java.util.List;

import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.Slot;
import io.verbenatrack.model.WorkerSpec;

/**
 * Reference implementation that packs gangs into a small fleet by exhaustive search.
 */
final class ExhaustivePacker {

	private final List<WorkerSpec> workers;

	private final long[] free;

	private final int[] cores;

	private final int[] memoryGib;

	ExhaustivePacker(List<WorkerSpec> workers) {
		this.workers = workers.stream()
			.sorted(Comparator.comparing(WorkerSpec::rack).thenComparing(WorkerSpec::positionInRack))
			.toList();
		this.free = this.workers.stream().mapToLong((worker) -> (1L << worker.accelerators()) - 1).toArray();
		this.cores = this.workers.stream().mapToInt(WorkerSpec::cores).toArray();
		this.memoryGib = this.workers.stream().mapToInt(WorkerSpec::memoryGib).toArray();
	}

	// Takes accelerators at a fixed position. Returns false if they overlap others or do
	// not fit.
	boolean take(GangShape shape, List<Slot> slots) {
		boolean fits = true;
		for (Slot slot : slots) {
			int index = indexOf(slot);
			long mask = ((1L << slot.accelerators()) - 1) << slot.firstAccelerator();
			fits &= (mask & ~this.free[index]) == 0;
			change(index, mask, shape, slot.accelerators(), true);
			fits &= this.cores[index] >= 0 && this.memoryGib[index] >= 0;
		}
		return fits;
	}

	boolean packs(List<GangShape> gangs) {
		List<GangShape> largestFirst = gangs.stream()
			.sorted(Comparator.comparingInt(GangShape::accelerators)
				.reversed()
				.thenComparing(GangShape::coresPerAccelerator)
				.thenComparing(GangShape::memoryGibPerAccelerator))
			.toList();
		return packs(largestFirst, 0, 0);
	}

	// Equal gangs are placed at ascending positions, so that no permutation of them is
	// tried twice.
	private boolean packs(List<GangShape> gangs, int next, int from) {
		if (next == gangs.size()) {
			return true;
		}
		GangShape gang = gangs.get(next);
		for (int place = from; place < this.workers.size() * Long.SIZE; place++) {
			int workersTaken = takeAt(gang, place);
			if (workersTaken > 0) {
				boolean same = next + 1 < gangs.size() && gangs.get(next + 1).equals(gang);
				boolean packed = packs(gangs, next + 1, same ? place : 0);
				release(gang, place, workersTaken);
				if (packed) {
					return true;
				}
			}
		}
		return false;
	}

	private int takeAt(GangShape gang, int place) {
		int first = place / Long.SIZE;
		int start = place % Long.SIZE;
		int whole = this.workers.get(first).accelerators();
		if (gang.accelerators() <= whole) {
			return fits(gang, first, mask(gang, start), gang.accelerators())
					? changeRun(gang, first, 1, mask(gang, start), gang.accelerators(), true) : 0;
		}
		int count = (gang.accelerators() + whole - 1) / whole;
		boolean run = start == 0 && first + count <= this.workers.size();
		for (int index = first; run && index < first + count; index++) {
			run = fits(gang, index, (1L << whole) - 1, whole) && (index == first || adjacent(index));
		}
		return run ? changeRun(gang, first, count, (1L << whole) - 1, whole, true) : 0;
	}

	private void release(GangShape gang, int place, int count) {
		int first = place / Long.SIZE;
		int whole = this.workers.get(first).accelerators();
		boolean one = gang.accelerators() <= whole;
		changeRun(gang, first, count, one ? mask(gang, place % Long.SIZE) : (1L << whole) - 1,
				one ? gang.accelerators() : whole, false);
	}

	private int changeRun(GangShape gang, int first, int count, long mask, int accelerators, boolean taken) {
		for (int index = first; index < first + count; index++) {
			change(index, mask, gang, accelerators, taken);
		}
		return count;
	}

	private void change(int index, long mask, GangShape shape, int accelerators, boolean taken) {
		this.free[index] = taken ? this.free[index] & ~mask : this.free[index] | mask;
		this.cores[index] -= (taken ? 1 : -1) * accelerators * shape.coresPerAccelerator();
		this.memoryGib[index] -= (taken ? 1 : -1) * accelerators * shape.memoryGibPerAccelerator();
	}

	private boolean fits(GangShape gang, int index, long mask, int accelerators) {
		return (mask & ~this.free[index]) == 0 && this.cores[index] >= accelerators * gang.coresPerAccelerator()
				&& this.memoryGib[index] >= accelerators * gang.memoryGibPerAccelerator();
	}

	private boolean adjacent(int index) {
		WorkerSpec before = this.workers.get(index - 1);
		WorkerSpec worker = this.workers.get(index);
		return before.rack().equals(worker.rack()) && before.positionInRack() + 1 == worker.positionInRack();
	}

	private static long mask(GangShape gang, int start) {
		return (start + gang.accelerators() < Long.SIZE) ? ((1L << gang.accelerators()) - 1) << start : -1L;
	}

	private int indexOf(Slot slot) {
		for (int index = 0; index < this.workers.size(); index++) {
			if (this.workers.get(index).id().equals(slot.worker())) {
				return index;
			}
		}
		throw new AssertionError("Region on unusable worker " + slot.worker());
	}

}
