package io.verbenatrack.model;

/**
 * Identifier of one dispatch of a request.
 *
 * @param value the text of the identifier, valid by {@link Identifiers}
 */
public record AttemptId(String value) implements Comparable<AttemptId> {

	public AttemptId {
		Identifiers.requireValid("attempt", value);
	}

	@Override
	public int compareTo(AttemptId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
