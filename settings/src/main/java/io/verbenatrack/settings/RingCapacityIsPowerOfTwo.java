package io.verbenatrack.settings;

import java.util.Optional;

/**
 * Requires the capacity of the ring buffers to be a power of two.
 */
record RingCapacityIsPowerOfTwo() implements SettingsRule {

	@Override
	public Optional<Violation> violation(InstanceSettings settings) {
		int capacity = settings.limits().ringCapacity();
		if (capacity > 1 && Integer.bitCount(capacity) == 1) {
			return Optional.empty();
		}
		return Optional.of(new Violation("limits", "has a ring-capacity of " + capacity + ".",
				"Give a power of two, such as 4096."));
	}

}
