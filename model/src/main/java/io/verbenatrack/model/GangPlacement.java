package io.verbenatrack.model;

import java.util.List;

/**
 * The accelerators that a gang holds.
 *
 * @param slots one for each worker, in order of their place in the rack
 */
public record GangPlacement(List<Slot> slots) {

	public GangPlacement {
		slots = List.copyOf(slots);
	}

	/**
	 * How many accelerators the gang holds.
	 * @return the sum over all workers
	 */
	public int accelerators() {
		return this.slots.stream().mapToInt(Slot::accelerators).sum();
	}

}
