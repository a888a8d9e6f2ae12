package io.verbenatrack.model;

/**
 * Names a request.
 *
 * @param value the identifier as callers write it, see {@link Identifiers}
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
