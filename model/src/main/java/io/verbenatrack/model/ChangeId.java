package io.verbenatrack.model;

/**
 * Identifier of a configuration change.
 *
 * @param value the text of the identifier, valid by {@link Identifiers}
 */
public record ChangeId(String value) implements Comparable<ChangeId> {

	public ChangeId {
		Identifiers.requireValid("change", value);
	}

	@Override
	public int compareTo(ChangeId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
