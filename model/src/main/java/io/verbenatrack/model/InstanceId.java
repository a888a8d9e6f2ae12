package io.verbenatrack.model;

/**
 * Names an instance.
 *
 * @param value the identifier as callers write it, see {@link Identifiers}
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

	public InstanceId {
		Identifiers.requireValid("instance", value);
	}

	@Override
	public int compareTo(InstanceId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
