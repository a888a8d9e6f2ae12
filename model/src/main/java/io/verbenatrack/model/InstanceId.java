package io.verbenatrack.model;

/**
 * Identifier of an instance.
 *
 * @param value the text of the identifier, valid by {@link Identifiers}
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
