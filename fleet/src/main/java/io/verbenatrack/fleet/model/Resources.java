package io.verbenatrack.fleet.model;

/**
 * Resources on a worker, or what a task needs of it.
 *
 * @param cpuMillis processor room in thousandths of a core
 * @param memoryMb memory in MB
 * @param accelerators whole accelerators
 */
public record Resources(long cpuMillis, long memoryMb, int accelerators) {

	/** No room at all. */
	public static final Resources NONE = new Resources(0, 0, 0);

	/**
	 * Adds room.
	 * @param other what is added
	 * @return the sum
	 */
	public Resources plus(Resources other) {
		return new Resources(this.cpuMillis + other.cpuMillis, this.memoryMb + other.memoryMb,
				this.accelerators + other.accelerators);
	}

	/**
	 * Takes room away.
	 * @param other what is taken
	 * @return the rest, which may be negative
	 */
	public Resources minus(Resources other) {
		return new Resources(this.cpuMillis - other.cpuMillis, this.memoryMb - other.memoryMb,
				this.accelerators - other.accelerators);
	}

	/**
	 * Whether this much fits.
	 * @param free the room that is free
	 * @return whether no part is larger than what is free
	 */
	public boolean fitsIn(Resources free) {
		return this.cpuMillis <= free.cpuMillis && this.memoryMb <= free.memoryMb
				&& this.accelerators <= free.accelerators;
	}

	/**
	 * How often this much fits.
	 * @param free the room that is free
	 * @return the number of times, from 0
	 */
	public int maxCopiesIn(Resources free) {
		long copies = Integer.MAX_VALUE;
		copies = (this.cpuMillis > 0) ? Math.min(copies, free.cpuMillis / this.cpuMillis) : copies;
		copies = (this.memoryMb > 0) ? Math.min(copies, free.memoryMb / this.memoryMb) : copies;
		copies = (this.accelerators > 0) ? Math.min(copies, free.accelerators / this.accelerators) : copies;
		return (int) Math.max(0, copies);
	}

}
