package io.verbenatrack.model;

/**
 * Gangs that an account can always start.
 *
 * @param shape the shape of each gang
 * @param count how many of them at once, at least 1
 */
public record Guarantee(GangShape shape, int count) {

	public Guarantee {
		if (count < 1) {
			throw new IllegalArgumentException(
					"A guarantee of " + count + " gangs is empty. Give a count of 1 or more.");
		}
	}

	/**
	 * The accelerators guaranteed in all.
	 * @return shape times count
	 */
	public int accelerators() {
		return this.shape.accelerators() * this.count;
	}

}
