package io.verbenatrack.settings;

import java.util.List;
import java.util.Optional;

/**
 * A check over several settings of an instance.
 */
sealed interface SettingsRule permits ListenerAddressesDiffer, PeersAreUnique, ElectionTimeoutCoversTwoHeartbeats,
		RingCapacityIsPowerOfTwo, DefaultTimeoutWithinMaximum, PeersRequireFixedPort {

	/** All rules, in the order in which they are checked. */
	List<SettingsRule> ALL = List.of(new ListenerAddressesDiffer(), new PeersAreUnique(), new PeersRequireFixedPort(),
			new ElectionTimeoutCoversTwoHeartbeats(), new DefaultTimeoutWithinMaximum(),
			new RingCapacityIsPowerOfTwo());

	/**
	 * Checks the rule.
	 * @param settings the settings
	 * @return what breaks the rule, if anything does
	 */
	Optional<Violation> violation(InstanceSettings settings);

	/**
	 * What breaks a rule.
	 *
	 * @param key the top key to blame
	 * @param found what was found, as the rest of a sentence that starts with the key
	 * @param remedy what to do
	 */
	record Violation(String key, String found, String remedy) {

	}

}
