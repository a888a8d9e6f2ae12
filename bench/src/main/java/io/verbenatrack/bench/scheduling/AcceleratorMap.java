package io.verbenatrack.bench.scheduling;

import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.RackId;
import io.verbenatrack.model.Slot;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.WorkerSpec;

/**
 * Tracks the accelerators in use on the simulated workers, independently of the
 * bookkeeping of the policy under test.
 */
final class AcceleratorMap {

	private final Map<WorkerId, WorkerAllocation> workers = new LinkedHashMap<>();

	private final Map<RackId, TreeMap<Integer, WorkerAllocation>> racks = new LinkedHashMap<>();

	void add(WorkerSpec spec) {
		WorkerAllocation worker = new WorkerAllocation(spec, new BitSet());
		this.workers.put(spec.id(), worker);
		this.racks.computeIfAbsent(spec.rack(), (rack) -> new TreeMap<>()).put(spec.positionInRack(), worker);
	}

	void remove(WorkerSpec spec) {
		this.workers.remove(spec.id());
		this.racks.get(spec.rack()).remove(spec.positionInRack());
	}

	boolean contains(WorkerId worker) {
		return this.workers.containsKey(worker);
	}

	// Allocates a gang. Returns false if the gang is not on adjacent workers, is not
	// complete, or overlaps accelerators that are in use.
	boolean allocate(int gang, GangPlacement placement) {
		List<Slot> slots = placement.slots().stream().filter((slot) -> contains(slot.worker())).toList();
		boolean free = slots.stream().allMatch((slot) -> this.workers.get(slot.worker()).allocate(slot));
		boolean complete = slots.size() == placement.slots().size() && placement.accelerators() == gang;
		return free && complete && adjacent(slots);
	}

	void release(Slot slot) {
		this.workers.get(slot.worker()).inUse().clear(slot.firstAccelerator(), end(slot));
	}

	int inUse() {
		return this.workers.values().stream().mapToInt((worker) -> worker.inUse().cardinality()).sum();
	}

	// Returns the share of free accelerators that gangs of the given size cannot use.
	double fragmentation(int gang) {
		int free = this.workers.values().stream().mapToInt(WorkerAllocation::free).sum();
		int usable = this.racks.values().stream().map(TreeMap::values).mapToInt((rack) -> usable(rack, gang)).sum();
		return (free != 0) ? 1 - (double) usable / free : 0;
	}

	private static int usable(Collection<WorkerAllocation> rack, int gang) {
		int usable = 0;
		int consecutive = 0;
		int position = 0;
		for (WorkerAllocation worker : rack) {
			if (gang <= worker.spec().accelerators()) {
				usable += worker.usable(gang);
				continue;
			}
			boolean isNextInRack = worker.spec().positionInRack() == position;
			position = worker.spec().positionInRack() + 1;
			int idle = (worker.free() == worker.spec().accelerators()) ? worker.free() : 0;
			consecutive = ((isNextInRack && idle != 0) ? consecutive : 0) + idle;
			if (consecutive >= gang) {
				usable += gang;
				consecutive = 0;
			}
		}
		return usable;
	}

	private boolean adjacent(List<Slot> slots) {
		for (int i = 1; i < slots.size(); i++) {
			WorkerSpec before = this.workers.get(slots.get(i - 1).worker()).spec();
			WorkerSpec worker = this.workers.get(slots.get(i).worker()).spec();
			if (!before.rack().equals(worker.rack()) || before.positionInRack() + 1 != worker.positionInRack()) {
				return false;
			}
		}
		return true;
	}

	private static int end(Slot slot) {
		return slot.firstAccelerator() + slot.accelerators();
	}

	// A worker and its accelerators in use.
	private record WorkerAllocation(WorkerSpec spec, BitSet inUse) {

		boolean allocate(Slot slot) {
			boolean free = this.inUse.get(slot.firstAccelerator(), end(slot)).isEmpty();
			this.inUse.set(slot.firstAccelerator(), end(slot));
			return free && end(slot) <= this.spec.accelerators();
		}

		int free() {
			return this.spec.accelerators() - this.inUse.cardinality();
		}

		int usable(int gang) {
			int usable = 0;
			int consecutive = 0;
			for (int accelerator = 0; accelerator < this.spec.accelerators(); accelerator++) {
				consecutive = this.inUse.get(accelerator) ? 0 : consecutive + 1;
				if (consecutive == gang) {
					usable += gang;
					consecutive = 0;
				}
			}
			return usable;
		}

	}

}
