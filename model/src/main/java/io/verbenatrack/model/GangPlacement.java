package io.verbenatrack.model;

import java.util.List;

/**
 * The accelerators allocated to a gang.
 *
 * @param slots one slot for each worker, ordered by the position of the worker in the
 * rack
 */
public record GangPlacement(List<Slot> slots) {

	public GangPlacement {
		slots = List.copyOf(slots);
	}

	/**
	 * Returns the number of accelerators allocated to the gang.
	 * @return the total over all workers
	 */
	public int accelerators() {
		return this.slots.stream().mapToInt(Slot::accelerators).sum();
	}

}
