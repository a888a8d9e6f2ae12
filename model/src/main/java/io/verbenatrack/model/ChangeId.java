package io.verbenatrack.model;

/**
 * Names a configuration change.
 *
 * @param value the identifier as callers write it, see {@link Identifiers}
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
