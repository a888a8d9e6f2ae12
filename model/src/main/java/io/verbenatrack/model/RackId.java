package io.verbenatrack.model;

/**
 * Identifier of a rack.
 *
 * @param value the text of the identifier, valid by {@link Identifiers}
 */
public record RackId(String value) implements Comparable<RackId> {

	public RackId {
		Identifiers.requireValid("rack", value);
	}

	@Override
	public int compareTo(RackId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
