package io.verbenatrack.model;

/**
 * Identifier of an availability zone.
 *
 * @param value the text of the identifier, valid by {@link Identifiers}
 */
public record ZoneId(String value) implements Comparable<ZoneId> {

	public ZoneId {
		Identifiers.requireValid("availability zone", value);
	}

	@Override
	public int compareTo(ZoneId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
