package io.verbenatrack.model;

/**
 * Identifier of a target.
 *
 * @param value the text of the identifier, valid by {@link Identifiers}
 */
public record TargetId(String value) implements Comparable<TargetId> {

	public TargetId {
		Identifiers.requireValid("target", value);
	}

	@Override
	public int compareTo(TargetId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
