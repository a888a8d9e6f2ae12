package io.verbenatrack.model;

/**
 * A number that grows with each lease; a worker refuses any lower than it has seen.
 *
 * @param value the number, from 1
 */
public record FencingToken(long value) implements Comparable<FencingToken> {

	@Override
	public int compareTo(FencingToken other) {
		return Long.compare(this.value, other.value);
	}

}
