package io.verbenatrack.scheduling.rules;

import java.time.Duration;

import io.verbenatrack.model.FleetDefaults;

/**
 * Weighs completion time against fragmentation, as the deployment declares.
 */
public final class Objective {

	private static final Duration LONGEST_PATIENCE = Duration.ofMinutes(10);

	private static final int MAXIMUM_RESERVATIONS = 6;

	private static final int MINIMUM_RESERVATIONS = 3;

	private Objective() {
	}

	/**
	 * How long a large gang waits for accelerators to come free before smaller jobs are
	 * moved for it: not at all where fragmentation is all that counts.
	 * @param defaults the policy in force
	 * @return the time
	 */
	public static Duration patience(FleetDefaults defaults) {
		return Duration.ofMillis((long) (LONGEST_PATIENCE.toMillis() * defaults.completionTimeWeight() / 10));
	}

	/**
	 * For how many large gangs accelerators are kept at once.
	 * @param defaults the policy in force
	 * @return a number that grows with the weight of fragmentation
	 */
	public static int reservations(FleetDefaults defaults) {
		double weight = 1 - defaults.completionTimeWeight();
		return MINIMUM_RESERVATIONS + (int) Math.round(weight * (MAXIMUM_RESERVATIONS - MINIMUM_RESERVATIONS));
	}

}
