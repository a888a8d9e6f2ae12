package io.verbenatrack.scheduling.policy;

import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

import io.verbenatrack.model.RackId;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.scheduling.state.AcceleratorMask;
import io.verbenatrack.scheduling.state.FleetState;
import io.verbenatrack.scheduling.state.RackRecord;
import io.verbenatrack.scheduling.state.SchedulingState;
import io.verbenatrack.scheduling.state.WorkerRecord;

/**
 * Indexes usable workers by their longest run of free adjacent accelerators, so that a
 * search need not visit every worker.
 */
final class FreeAcceleratorIndex {

	private final SchedulingState state;

	private final FreeSet free = new FreeSet();

	private final FreeSet outsideRegions = new FreeSet();

	private long[] withheld = new long[0];

	FreeAcceleratorIndex(SchedulingState state) {
		this.state = state;
		state.fleet().addListener(this::refresh);
		state.regions().addListener(this::refresh);
	}

	// Returns all free accelerators, inside and outside regions.
	FreeSet free() {
		return this.free;
	}

	// Returns the free accelerators outside all regions.
	FreeSet outsideRegions() {
		return this.outsideRegions;
	}

	FleetState fleet() {
		return this.state.fleet();
	}

	// Returns the accelerators of a worker that are withheld for pending evictions.
	long withheld(int worker) {
		return (worker < this.withheld.length) ? this.withheld[worker] : 0;
	}

	void setWithheld(WorkerRecord worker, long mask) {
		if (worker.index() >= this.withheld.length) {
			this.withheld = Arrays.copyOf(this.withheld, (worker.index() + 1) * 2);
		}
		this.withheld[worker.index()] = mask;
		refresh(worker);
	}

	private void refresh(WorkerId worker) {
		refresh(this.state.fleet().worker(worker).orElseThrow());
	}

	private void refresh(WorkerRecord worker) {
		long mask = worker.usable() ? worker.freeMask() & ~withheld(worker.index()) : 0;
		this.free.update(worker, mask);
		this.outsideRegions.update(worker, mask & ~this.state.regions().mask(worker.id()));
	}

	/**
	 * A set of free accelerators across the whole fleet.
	 */
	final class FreeSet {

		private final BitSet[] byLongestRun = new BitSet[AcceleratorMask.MAXIMUM_ACCELERATORS + 1];

		private final Map<RackId, Integer> freeWorkerRuns = new HashMap<>();

		private long[] masks = new long[0];

		FreeSet() {
			Arrays.setAll(this.byLongestRun, (run) -> new BitSet());
		}

		private void update(WorkerRecord worker, long mask) {
			if (worker.index() >= this.masks.length) {
				this.masks = Arrays.copyOf(this.masks, (worker.index() + 1) * 2);
			}
			this.byLongestRun[AcceleratorMask.longestRun(this.masks[worker.index()])].clear(worker.index());
			this.masks[worker.index()] = mask;
			this.byLongestRun[AcceleratorMask.longestRun(mask)].set(worker.index());
			this.freeWorkerRuns.remove(worker.spec().rack());
		}

		long mask(WorkerRecord worker) {
			return this.masks[worker.index()];
		}

		// Returns the indexes of the workers whose longest run has the given length.
		BitSet withLongestRun(int length) {
			return this.byLongestRun[length];
		}

		// Whether all accelerators of a worker are in this set.
		boolean isEntirelyFree(WorkerRecord worker) {
			long all = AcceleratorMask.first(worker.spec().accelerators());
			return worker.empty() && all != 0 && mask(worker) == all;
		}

		// Returns the length of the longest run of adjacent, entirely free workers in a
		// rack.
		int longestFreeWorkerRun(RackRecord rack) {
			return this.freeWorkerRuns.computeIfAbsent(rack.id(), (id) -> countFreeWorkerRun(rack));
		}

		private int countFreeWorkerRun(RackRecord rack) {
			int longest = 0;
			int run = 0;
			for (int position = 0; position < rack.workers().size(); position++) {
				boolean continues = position == 0 || rack.adjacentToPrevious(position);
				run = isEntirelyFree(rack.workers().get(position)) ? (continues ? run : 0) + 1 : 0;
				longest = Math.max(longest, run);
			}
			return longest;
		}

	}

}
