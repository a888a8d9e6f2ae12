package io.verbenatrack.settings;

import java.util.Optional;

/**
 * Requires the HTTP and gRPC listeners of an instance to have different addresses.
 */
record ListenerAddressesDiffer() implements SettingsRule {

	@Override
	public Optional<Violation> violation(InstanceSettings settings) {
		if (!settings.http().overlaps(settings.grpc())) {
			return Optional.empty();
		}
		return Optional.of(new Violation("grpc", "has '" + settings.grpc() + "', as has http.",
				"Give each listener its own port."));
	}

}
