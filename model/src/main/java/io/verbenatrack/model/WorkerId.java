package io.verbenatrack.model;

/**
 * Names a worker.
 *
 * @param value the identifier as callers write it, see {@link Identifiers}
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
