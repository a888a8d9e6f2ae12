package io.verbenatrack.model;

/**
 * Names a target.
 *
 * @param value the identifier as callers write it, see {@link Identifiers}
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
