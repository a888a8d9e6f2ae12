package io.verbenatrack.scheduling.state;

import io.verbenatrack.model.Slot;

/**
 * Operations on sets of accelerators of one worker, represented as bit masks.
 */
public final class AcceleratorMask {

	/**
	 * The maximum number of accelerators used on one worker, which is the width of a
	 * mask.
	 */
	public static final int MAXIMUM_ACCELERATORS = 64;

	private AcceleratorMask() {
	}

	/**
	 * Returns the mask of the first accelerators of a worker.
	 * @param count the number of accelerators
	 * @return their mask
	 */
	public static long first(int count) {
		return (count >= MAXIMUM_ACCELERATORS) ? -1L : (1L << count) - 1;
	}

	/**
	 * Returns the mask of the accelerators in a slot.
	 * @param slot the slot
	 * @return their mask
	 */
	public static long of(Slot slot) {
		return first(slot.accelerators()) << slot.firstAccelerator();
	}

	/**
	 * Returns the positions where a run of adjacent accelerators of the given length
	 * starts.
	 * @param mask the accelerators
	 * @param length the number of adjacent accelerators needed
	 * @return a mask with a bit for each start position
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
	 * Returns the length of the longest run of adjacent accelerators.
	 * @param mask the accelerators
	 * @return the length of that run, 0 for an empty mask
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
	 * Returns the start position whose removal leaves the longest run of remaining
	 * accelerators; ties go to the lowest position.
	 * @param mask the accelerators to choose from
	 * @param length the number of adjacent accelerators needed
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
