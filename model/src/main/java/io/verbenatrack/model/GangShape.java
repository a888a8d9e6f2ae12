package io.verbenatrack.model;

/**
 * The resources a gang needs, all at once.
 *
 * @param accelerators how many adjacent accelerators, at least 1
 * @param coresPerAccelerator processor cores beside each accelerator
 * @param memoryGibPerAccelerator memory beside each accelerator, in GiB
 */
public record GangShape(int accelerators, int coresPerAccelerator, int memoryGibPerAccelerator) {

	/** The most accelerators a gang can have. */
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
	 * The processor cores of the whole gang.
	 * @return cores
	 */
	public int cores() {
		return this.accelerators * this.coresPerAccelerator;
	}

	/**
	 * The memory of the whole gang.
	 * @return memory in GiB
	 */
	public int memoryGib() {
		return this.accelerators * this.memoryGibPerAccelerator;
	}

}
