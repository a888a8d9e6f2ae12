package io.verbenatrack.settings;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Finds the known word closest to a misspelled one.
 *
 * <p>
 * The distance is that of Damerau, "A technique for computer detection and correction of
 * spelling errors" (1964), in its restricted form (optimal string alignment):
 * transpositions of adjacent characters only. The matrix is computed row by row.
 */
public final class EditDistance {

	private static final int MAXIMUM_WORD_LENGTH = 64;

	private EditDistance() {
	}

	/**
	 * Finds the closest known word.
	 * @param word the misspelled word
	 * @param known the words to choose from
	 * @return the closest word, if its distance is less than half the length of the
	 * longer word
	 */
	public static Optional<String> nearest(String word, Collection<String> known) {
		if (word.length() > MAXIMUM_WORD_LENGTH) {
			return Optional.empty();
		}
		return known.stream()
			.min(Comparator.<String>comparingInt((candidate) -> distance(word, candidate))
				.thenComparing(Comparator.naturalOrder()))
			.filter((candidate) -> distance(word, candidate) * 2 < Math.max(word.length(), candidate.length()));
	}

	/**
	 * Counts the single-character edits between two words.
	 * @param left one word
	 * @param right the other word
	 * @return the number of insertions, deletions, substitutions and transpositions of
	 * adjacent characters
	 */
	static int distance(String left, String right) {
		int[] beforePrevious = new int[right.length() + 1];
		int[] previous = new int[right.length() + 1];
		Arrays.setAll(previous, (column) -> column);
		for (int row = 1; row <= left.length(); row++) {
			int[] current = new int[right.length() + 1];
			current[0] = row;
			for (int column = 1; column <= right.length(); column++) {
				int substituted = previous[column - 1] + ((left.charAt(row - 1) != right.charAt(column - 1)) ? 1 : 0);
				current[column] = Math.min(substituted, Math.min(previous[column], current[column - 1]) + 1);
				if (isTransposition(left, right, row, column)) {
					current[column] = Math.min(current[column], beforePrevious[column - 2] + 1);
				}
			}
			beforePrevious = previous;
			previous = current;
		}
		return previous[right.length()];
	}

	private static boolean isTransposition(String left, String right, int row, int column) {
		return row > 1 && column > 1 && left.charAt(row - 1) == right.charAt(column - 2)
				&& left.charAt(row - 2) == right.charAt(column - 1);
	}

}
