package io.verbenatrack.settings;

import java.util.List;
import java.util.Optional;

/**
 * A validation rule that spans several settings of an instance.
 */
sealed interface SettingsRule permits ListenerAddressesDiffer, PeersAreUnique, ElectionTimeoutCoversTwoHeartbeats,
		RingCapacityIsPowerOfTwo, DefaultTimeoutWithinMaximum, PeersRequireFixedPort {

	/** All rules, in evaluation order. */
	List<SettingsRule> ALL = List.of(new ListenerAddressesDiffer(), new PeersAreUnique(), new PeersRequireFixedPort(),
			new ElectionTimeoutCoversTwoHeartbeats(), new DefaultTimeoutWithinMaximum(),
			new RingCapacityIsPowerOfTwo());

	/**
	 * Validates settings against this rule.
	 * @param settings the settings
	 * @return the violation, or empty when the settings comply
	 */
	Optional<Violation> violation(InstanceSettings settings);

	/**
	 * A violation of a rule.
	 *
	 * @param key the top-level key that is reported
	 * @param found the predicate of a sentence whose subject is the key
	 * @param remedy how to correct the settings
	 */
	record Violation(String key, String found, String remedy) {

	}

}
