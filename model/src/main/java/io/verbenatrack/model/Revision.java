package io.verbenatrack.model;

/**
 * The position of a configuration in the total order of accepted configurations.
 *
 * @param epoch starts at 1 and increases when an operator recovers a lost quorum
 * @param number the number of accepted changes, 0 before the first
 */
public record Revision(long epoch, long number) implements Comparable<Revision> {

	/** The revision before any configuration is accepted. */
	public static final Revision NONE = new Revision(1, 0);

	@Override
	public int compareTo(Revision other) {
		int byEpoch = Long.compare(this.epoch, other.epoch);
		return (byEpoch != 0) ? byEpoch : Long.compare(this.number, other.number);
	}

	/**
	 * Returns the revision that follows this one.
	 * @return the next number in the same epoch
	 */
	public Revision next() {
		return new Revision(this.epoch, this.number + 1);
	}

}
