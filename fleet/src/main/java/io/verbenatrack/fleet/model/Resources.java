package io.verbenatrack.fleet.model;

/**
 * Compute resources, either available on a worker or required by a task.
 *
 * @param cpuMillis processor time in thousandths of a core
 * @param memoryMb memory in MB
 * @param accelerators the number of whole accelerators
 */
public record Resources(long cpuMillis, long memoryMb, int accelerators) {

	/** No resources. */
	public static final Resources NONE = new Resources(0, 0, 0);

	/**
	 * Adds resources.
	 * @param other the resources to add
	 * @return the sum
	 */
	public Resources plus(Resources other) {
		return new Resources(this.cpuMillis + other.cpuMillis, this.memoryMb + other.memoryMb,
				this.accelerators + other.accelerators);
	}

	/**
	 * Subtracts resources.
	 * @param other the resources to subtract
	 * @return the difference, whose parts may be negative
	 */
	public Resources minus(Resources other) {
		return new Resources(this.cpuMillis - other.cpuMillis, this.memoryMb - other.memoryMb,
				this.accelerators - other.accelerators);
	}

	/**
	 * Returns the resources of several copies.
	 * @param copies the number of copies
	 * @return the product
	 */
	public Resources times(int copies) {
		return new Resources(this.cpuMillis * copies, this.memoryMb * copies, this.accelerators * copies);
	}

	/**
	 * Returns the larger amount of each part.
	 * @param other the resources to compare with
	 * @return the maximum by part
	 */
	public Resources atLeast(Resources other) {
		return new Resources(Math.max(this.cpuMillis, other.cpuMillis), Math.max(this.memoryMb, other.memoryMb),
				Math.max(this.accelerators, other.accelerators));
	}

	/**
	 * Returns whether these resources fit into free ones.
	 * @param free the free resources
	 * @return whether each part is at most the free amount
	 */
	public boolean fitsIn(Resources free) {
		return this.cpuMillis <= free.cpuMillis && this.memoryMb <= free.memoryMb
				&& this.accelerators <= free.accelerators;
	}

	/**
	 * Returns how many copies of these resources fit into free ones.
	 * @param free the free resources
	 * @return the number of copies, at least 0
	 */
	public int maxCopiesIn(Resources free) {
		long copies = Integer.MAX_VALUE;
		copies = (this.cpuMillis > 0) ? Math.min(copies, free.cpuMillis / this.cpuMillis) : copies;
		copies = (this.memoryMb > 0) ? Math.min(copies, free.memoryMb / this.memoryMb) : copies;
		copies = (this.accelerators > 0) ? Math.min(copies, free.accelerators / this.accelerators) : copies;
		return (int) Math.max(0, copies);
	}

}
