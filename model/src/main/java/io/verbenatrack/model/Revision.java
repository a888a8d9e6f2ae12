package io.verbenatrack.model;

/**
 * The place of a configuration in the order of all accepted configurations.
 *
 * @param epoch grows when an operator recovers a lost quorum, from 1
 * @param number grows by 1 with each accepted change, 0 before the first
 */
public record Revision(long epoch, long number) implements Comparable<Revision> {

	/** Before any configuration was accepted. */
	public static final Revision NONE = new Revision(1, 0);

	@Override
	public int compareTo(Revision other) {
		int epochs = Long.compare(this.epoch, other.epoch);
		return (epochs != 0) ? epochs : Long.compare(this.number, other.number);
	}

	/**
	 * The revision after this one.
	 * @return the next number in the same epoch
	 */
	public Revision next() {
		return new Revision(this.epoch, this.number + 1);
	}

}
