package io.verbenatrack.routing.rules;

/**
 * Divides the slots of a target evenly among the instances.
 */
public final class SlotShare {

	private SlotShare() {
	}

	/**
	 * Returns the share of one instance.
	 * @param slots the number of slots of the target
	 * @param instances the number of instances, at least 1
	 * @param rank the position of the instance among all instances, from 0
	 * @param rotation a number that varies by target, so that the remainder goes to
	 * different instances on different targets
	 * @return the share; the shares of all ranks add up to the slots
	 */
	public static int of(int slots, int instances, int rank, int rotation) {
		int remainder = slots % instances;
		int place = Math.floorMod(rank + rotation, instances);
		return slots / instances + ((place < remainder) ? 1 : 0);
	}

}
