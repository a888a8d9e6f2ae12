package io.verbenatrack.model;

/**
 * Identifier of a worker.
 *
 * @param value the text of the identifier, valid by {@link Identifiers}
 */
public record WorkerId(String value) implements Comparable<WorkerId> {

	public WorkerId {
		Identifiers.requireValid("worker", value);
	}

	@Override
	public int compareTo(WorkerId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
