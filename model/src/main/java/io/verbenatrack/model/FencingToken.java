package io.verbenatrack.model;

/**
 * A number that increases with each lease. A worker rejects calls whose token is lower
 * than the highest it has seen.
 *
 * @param value the number, at least 1
 */
public record FencingToken(long value) implements Comparable<FencingToken> {

	@Override
	public int compareTo(FencingToken other) {
		return Long.compare(this.value, other.value);
	}

}
