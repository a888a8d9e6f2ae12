package io.verbenatrack.model;

/**
 * Capacity that is guaranteed to an account, as a number of gangs of one shape.
 *
 * @param shape the shape of each gang
 * @param count the number of gangs that can run at the same time, at least 1
 */
public record Guarantee(GangShape shape, int count) {

	public Guarantee {
		if (count < 1) {
			throw new IllegalArgumentException(
					"A guarantee of " + count + " gangs is empty. Give a count of 1 or more.");
		}
	}

	/**
	 * Returns the total number of guaranteed accelerators.
	 * @return the accelerators of the shape times the count
	 */
	public int accelerators() {
		return this.shape.accelerators() * this.count;
	}

}
