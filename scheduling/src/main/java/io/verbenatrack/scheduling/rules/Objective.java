package io.verbenatrack.scheduling.rules;

import java.time.Duration;

import io.verbenatrack.model.FleetDefaults;

/**
 * Derives tuning values from the configured weight of completion time against
 * fragmentation.
 */
public final class Objective {

	private static final Duration MAXIMUM_DEFRAGMENTATION_DELAY = Duration.ofMinutes(10);

	private static final int MAXIMUM_RESERVATIONS = 6;

	private static final int MINIMUM_RESERVATIONS = 3;

	private Objective() {
	}

	/**
	 * Returns how long a large gang waits for accelerators to become free before smaller
	 * jobs are moved for it. It is zero when only fragmentation counts.
	 * @param defaults the configured defaults
	 * @return the time
	 */
	public static Duration defragmentationDelay(FleetDefaults defaults) {
		return Duration
			.ofMillis((long) (MAXIMUM_DEFRAGMENTATION_DELAY.toMillis() * defaults.completionTimeWeight() / 10));
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
