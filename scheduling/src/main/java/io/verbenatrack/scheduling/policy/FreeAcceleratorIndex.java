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

	private final FreeSet open = new FreeSet();

	private long[] claimed = new long[0];

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
	FreeSet open() {
		return this.open;
	}

	FleetState fleet() {
		return this.state.fleet();
	}

	// Returns the accelerators of a worker that are withheld for pending evictions.
	long claimed(int worker) {
		return (worker < this.claimed.length) ? this.claimed[worker] : 0;
	}

	void setClaimed(WorkerRecord worker, long mask) {
		if (worker.index() >= this.claimed.length) {
			this.claimed = Arrays.copyOf(this.claimed, (worker.index() + 1) * 2);
		}
		this.claimed[worker.index()] = mask;
		refresh(worker);
	}

	private void refresh(WorkerId worker) {
		refresh(this.state.fleet().worker(worker).orElseThrow());
	}

	private void refresh(WorkerRecord worker) {
		long mask = worker.usable() ? worker.freeMask() & ~claimed(worker.index()) : 0;
		this.free.update(worker, mask);
		this.open.update(worker, mask & ~this.state.regions().mask(worker.id()));
	}

	/**
	 * A set of free accelerators across the whole fleet.
	 */
	final class FreeSet {

		private final BitSet[] byLongestRun = new BitSet[AcceleratorMask.MAXIMUM_ACCELERATORS + 1];

		private final Map<RackId, Integer> wholeRuns = new HashMap<>();

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
			this.wholeRuns.remove(worker.spec().rack());
		}

		long mask(WorkerRecord worker) {
			return this.masks[worker.index()];
		}

		// Returns the indexes of the workers whose longest run has the given length.
		BitSet withLongestRun(int length) {
			return this.byLongestRun[length];
		}

		// Whether all accelerators of a worker are in this set.
		boolean isWhole(WorkerRecord worker) {
			long all = AcceleratorMask.first(worker.spec().accelerators());
			return worker.empty() && all != 0 && mask(worker) == all;
		}

		// Returns the length of the longest run of adjacent, entirely free workers in a
		// rack.
		int longestWholeRun(RackRecord rack) {
			return this.wholeRuns.computeIfAbsent(rack.id(), (id) -> countWholeRun(rack));
		}

		private int countWholeRun(RackRecord rack) {
			int longest = 0;
			int run = 0;
			for (int place = 0; place < rack.workers().size(); place++) {
				boolean continues = place == 0 || rack.adjacentToPrevious(place);
				run = isWhole(rack.workers().get(place)) ? (continues ? run : 0) + 1 : 0;
				longest = Math.max(longest, run);
			}
			return longest;
		}

	}

}
