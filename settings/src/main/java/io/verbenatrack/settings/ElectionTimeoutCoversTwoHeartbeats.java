package io.verbenatrack.settings;

import java.util.Optional;

/**
 * Requires the election timeout to cover at least two heartbeat intervals, so that a
 * single lost heartbeat does not start an election.
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
