package io.verbenatrack.settings;

import java.util.Optional;

/**
 * Requires an instance that has peers to use a fixed gRPC port, because the peers have
 * the port in their settings.
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
