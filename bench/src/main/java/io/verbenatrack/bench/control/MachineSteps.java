package io.verbenatrack.bench.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Steps of a schedule whose machines change.
 */
final class MachineSteps {

	private static final long FIRST_NANOS = Duration.ofMillis(2500).toNanos();

	private static final long MAX_GAP_NANOS = Duration.ofMillis(1500).toNanos();

	private static final long MIN_DURATION_NANOS = Duration.ofMillis(100).toNanos();

	private static final long MAX_DURATION_NANOS = Duration.ofMillis(3500).toNanos();

	/** Of this many steps one more replaces a voter. */
	private static final int REPLACEMENT_SHARE = 5;

	private MachineSteps() {
	}

	/**
	 * Draws the steps of a seed. A step that is left out changes no other one.
	 * @param seed the seed
	 * @param endNanos the end of the last step, in nanoseconds
	 * @return the steps in the order of their start
	 */
	static List<Step> generate(long seed, long endNanos) {
		SplittableRandom random = new SplittableRandom(seed ^ 0x2545F4914F6CDD1DL);
		List<Step> steps = new ArrayList<>();
		long start = FIRST_NANOS;
		while (start < endNanos) {
			Kind kind = (random.nextInt(REPLACEMENT_SHARE) == 0) ? Kind.REPLACE_VOTER
					: Kind.values()[random.nextInt(Kind.values().length)];
			steps.add(
					new Step(kind, start, MIN_DURATION_NANOS + random.nextLong(MAX_DURATION_NANOS), random.nextLong()));
			start += random.nextLong(MAX_GAP_NANOS);
		}
		return steps;
	}

	/** What happens in a step. */
	enum Kind {

		/**
		 * A voter is removed for good, and an empty machine at another address is added.
		 */
		REPLACE_VOTER,
		/** A machine is removed for good, and no other one is added. */
		REMOVE_MACHINE,
		/** An empty machine is added, which is a learner first. */
		ADD_MACHINE,
		/** The settings of all machines name other seeds, and one process restarts. */
		CHANGE_SEEDS,
		/** As many disks are lost at once as the deployment bears. */
		LOSE_DISKS,
		/** All machines lose power at once. */
		LOSE_POWER,
		/** All machines lose power at once, and disks are lost. */
		LOSE_POWER_AND_DISKS,
		/** A machine is cut off in one or both directions. */
		CUT,
		/** The leader is cut off in one or both directions. */
		CUT_LEADER,
		/** A process pauses or a machine is suspended. */
		PAUSE,
		/** A process crashes and restarts. */
		RESTART,
		/** Messages are lost, doubled or reordered, or a disk is slow. */
		SLOW

	}

	/**
	 * One step.
	 *
	 * @param kind what happens
	 * @param startNanos when it happens, in nanoseconds
	 * @param durationNanos how long it lasts, in nanoseconds
	 * @param seed chooses the machines and the rest
	 */
	record Step(Kind kind, long startNanos, long durationNanos, long seed) {

		@Override
		public String toString() {
			return this.kind + " at " + Duration.ofNanos(this.startNanos).toMillis() + " ms";
		}

	}

}
