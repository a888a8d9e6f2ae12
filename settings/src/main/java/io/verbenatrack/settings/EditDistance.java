package io.verbenatrack.settings;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Finds the known word nearest to a misspelt one.
 *
 * <p>
 * The distance is that of Damerau, "A technique for computer detection and correction of
 * spelling errors" (1964), restricted to swaps of neighbours and computed row by row.
 */
public final class EditDistance {

	private static final int MAXIMUM_WORD_LENGTH = 64;

	private EditDistance() {
	}

	/**
	 * Finds the nearest known word.
	 * @param word the word as found
	 * @param known the words to choose from
	 * @return the nearest, if it is less than half of the word away
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
	 * @return insertions, deletions, replacements and swaps of neighbours
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
