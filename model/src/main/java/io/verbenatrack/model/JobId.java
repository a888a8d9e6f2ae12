package io.verbenatrack.model;

/**
 * Identifier of a job.
 *
 * @param value the text of the identifier, valid by {@link Identifiers}
 */
public record JobId(String value) implements Comparable<JobId> {

	public JobId {
		Identifiers.requireValid("job", value);
	}

	@Override
	public int compareTo(JobId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
