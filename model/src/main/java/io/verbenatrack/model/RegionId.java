package io.verbenatrack.model;

/**
 * Identifier of a region.
 *
 * @param value the text of the identifier, valid by {@link Identifiers}
 */
public record RegionId(String value) implements Comparable<RegionId> {

	public RegionId {
		Identifiers.requireValid("region", value);
	}

	@Override
	public int compareTo(RegionId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
