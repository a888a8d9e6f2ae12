package io.verbenatrack.settings;

import java.util.Optional;

/**
 * An instance with peers listens for them on a fixed port.
 */
record PeersRequireFixedPort() implements SettingsRule {

	@Override
	public Optional<Violation> violation(InstanceSettings settings) {
		if (settings.peers().isEmpty() || settings.grpc().port() != 0) {
			return Optional.empty();
		}
		return Optional.of(new Violation("grpc", "has '" + settings.grpc() + "', which peers cannot know.",
				"Give the fixed port that the peers have in their settings."));
	}

}
