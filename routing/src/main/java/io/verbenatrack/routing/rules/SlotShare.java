package io.verbenatrack.routing.rules;

/**
 * Splits the slots of a target over the instances, so that all together respect them.
 */
public final class SlotShare {

	private SlotShare() {
	}

	/**
	 * The share of one instance.
	 * @param slots how many there are
	 * @param instances how many instances share them, at least 1
	 * @param rank the place of the instance among them, from 0
	 * @param rotation moves the remainder from target to target
	 * @return its share; the shares of all ranks add up to the slots
	 */
	public static int of(int slots, int instances, int rank, int rotation) {
		int remainder = slots % instances;
		int place = Math.floorMod(rank + rotation, instances);
		return slots / instances + ((place < remainder) ? 1 : 0);
	}

}
