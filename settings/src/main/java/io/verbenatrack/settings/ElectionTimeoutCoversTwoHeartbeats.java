package io.verbenatrack.settings;

import java.util.Optional;

/**
 * An election waits for at least two heartbeats, so that one lost message starts none.
 */
record ElectionTimeoutCoversTwoHeartbeats() implements SettingsRule {

	@Override
	public Optional<Violation> violation(InstanceSettings settings) {
		TimeoutSettings timeouts = settings.timeouts();
		if (timeouts.election().compareTo(timeouts.heartbeat().multipliedBy(2)) >= 0) {
			return Optional.empty();
		}
		return Optional.of(new Violation("timeouts", "has an election timeout of less than two heartbeats.",
				"Raise election, or lower heartbeat."));
	}

}
