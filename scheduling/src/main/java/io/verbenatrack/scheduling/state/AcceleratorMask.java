package io.verbenatrack.scheduling.state;

import io.verbenatrack.model.Slot;

/**
 * Arithmetic on sets of a worker's accelerators, one bit each.
 */
public final class AcceleratorMask {

	/** The most accelerators of one worker that are used. */
	public static final int MAXIMUM_ACCELERATORS = 64;

	private AcceleratorMask() {
	}

	/**
	 * The first accelerators of a worker.
	 * @param count how many
	 * @return their mask
	 */
	public static long first(int count) {
		return (count >= MAXIMUM_ACCELERATORS) ? -1L : (1L << count) - 1;
	}

	/**
	 * The accelerators of a slot.
	 * @param slot the slot
	 * @return their mask
	 */
	public static long of(Slot slot) {
		return first(slot.accelerators()) << slot.firstAccelerator();
	}

	/**
	 * The positions where a run of adjacent accelerators starts.
	 * @param mask the accelerators
	 * @param length how many are needed side by side
	 * @return a bit for each position
	 */
	public static long runStarts(long mask, int length) {
		long starts = mask;
		int covered = 1;
		while (covered < length && starts != 0) {
			int step = Math.min(covered, length - covered);
			starts &= starts >>> step;
			covered += step;
		}
		return starts;
	}

	/**
	 * The longest run of adjacent accelerators.
	 * @param mask the accelerators
	 * @return its length
	 */
	public static int longestRun(long mask) {
		int length = 0;
		long rest = mask;
		while (rest != 0) {
			rest &= rest << 1;
			length++;
		}
		return length;
	}

	/**
	 * The start of the run that leaves the longest run behind; the lowest of equals.
	 * @param mask the accelerators to choose from
	 * @param length how many are needed side by side
	 * @return the first accelerator, or -1 when no run is long enough
	 */
	public static int bestStart(long mask, int length) {
		long starts = runStarts(mask, length);
		int best = -1;
		int bestLeft = -1;
		while (starts != 0) {
			int start = Long.numberOfTrailingZeros(starts);
			int left = longestRun(mask & ~(first(length) << start));
			if (left > bestLeft) {
				best = start;
				bestLeft = left;
			}
			starts &= starts - 1;
		}
		return best;
	}

}
