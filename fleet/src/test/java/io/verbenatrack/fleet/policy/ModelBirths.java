package io.verbenatrack.fleet.policy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * The wall clocks of the machines of the modelled workers, by which a worker states its
 * start.
 */
final class ModelBirths {

	private static final long EPOCH_MILLIS = 1_000_000;

	private static final long MAX_STEP_MILLIS = 5000;

	private final Random random;

	private final Map<String, Long> stepsMillis = new HashMap<>();

	private final Set<Long> used = new HashSet<>();

	ModelBirths(Random random) {
		this.random = random;
	}

	/**
	 * Sets the wall clock of a machine ahead or back.
	 * @param address the address of its worker
	 */
	void step(String address) {
		this.stepsMillis.put(address, this.random.nextLong(-MAX_STEP_MILLIS, MAX_STEP_MILLIS));
	}

	// No two workers state the same start.
	long born(String address, long nowMillis) {
		long bornMillis = EPOCH_MILLIS + nowMillis + this.stepsMillis.getOrDefault(address, 0L);
		while (!this.used.add(bornMillis)) {
			bornMillis++;
		}
		return bornMillis;
	}

}
