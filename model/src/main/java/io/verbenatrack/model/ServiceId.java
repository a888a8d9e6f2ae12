package io.verbenatrack.model;

/**
 * Identifier of a service.
 *
 * @param value the text of the identifier, valid by {@link Identifiers}
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

	public ServiceId {
		Identifiers.requireValid("service", value);
	}

	@Override
	public int compareTo(ServiceId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
