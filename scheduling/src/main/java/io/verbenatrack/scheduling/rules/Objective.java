package io.verbenatrack.scheduling.rules;

import java.time.Duration;

import io.verbenatrack.model.FleetDefaults;

/**
 * Derives tuning values from the configured weight of completion time against
 * fragmentation.
 */
public final class Objective {

	/** Ten times the delay that applies when only completion time counts. */
	private static final Duration DEFRAGMENTATION_DELAY_TIMES_10 = Duration.ofMinutes(10);

	private static final int MAXIMUM_RESERVATIONS = 6;

	private static final int MINIMUM_RESERVATIONS = 3;

	private Objective() {
	}

	/**
	 * Returns how long a large gang waits for accelerators to become free before smaller
	 * jobs are moved for it. It is 0 when only fragmentation counts and 1 minute when
	 * only completion time counts.
	 * @param defaults the configured defaults
	 * @return the time
	 */
	public static Duration defragmentationDelay(FleetDefaults defaults) {
		return Duration
			.ofMillis((long) (DEFRAGMENTATION_DELAY_TIMES_10.toMillis() * defaults.completionTimeWeight() / 10));
	}

	/**
	 * Returns the maximum number of large gangs that have a reservation at the same time.
	 * @param defaults the configured defaults
	 * @return the number, which grows with the weight of fragmentation
	 */
	public static int maximumReservations(FleetDefaults defaults) {
		double weight = 1 - defaults.completionTimeWeight();
		return MINIMUM_RESERVATIONS + (int) Math.round(weight * (MAXIMUM_RESERVATIONS - MINIMUM_RESERVATIONS));
	}

}
