package io.verbenatrack.model;

/**
 * The resources that a gang needs, allocated all at once or not at all.
 *
 * @param accelerators the number of adjacent accelerators, from 1 to
 * {@value #MAXIMUM_ACCELERATORS}
 * @param coresPerAccelerator the number of processor cores for each accelerator
 * @param memoryGibPerAccelerator the memory for each accelerator, in GiB
 */
public record GangShape(int accelerators, int coresPerAccelerator, int memoryGibPerAccelerator) {

	/** The maximum number of accelerators in a gang. */
	public static final int MAXIMUM_ACCELERATORS = 64;

	public GangShape {
		if (accelerators < 1 || accelerators > MAXIMUM_ACCELERATORS) {
			throw new IllegalArgumentException("A gang of " + accelerators
					+ " accelerators is not possible. Ask for 1 to " + MAXIMUM_ACCELERATORS + ".");
		}
		if (coresPerAccelerator < 0 || memoryGibPerAccelerator < 0) {
			throw new IllegalArgumentException("Cores and memory of a gang are not negative. Correct the shape.");
		}
	}

	/**
	 * Returns the number of processor cores for the whole gang.
	 * @return the number of cores
	 */
	public int cores() {
		return this.accelerators * this.coresPerAccelerator;
	}

	/**
	 * Returns the memory for the whole gang.
	 * @return the memory in GiB
	 */
	public int memoryGib() {
		return this.accelerators * this.memoryGibPerAccelerator;
	}

}
