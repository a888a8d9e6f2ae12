package io.verbenatrack.model;

/**
 * Identifier of a request.
 *
 * @param value the text of the identifier, valid by {@link Identifiers}
 */
public record RequestId(String value) implements Comparable<RequestId> {

	public RequestId {
		Identifiers.requireValid("request", value);
	}

	@Override
	public int compareTo(RequestId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
