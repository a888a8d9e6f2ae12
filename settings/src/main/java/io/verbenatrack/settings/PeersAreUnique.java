package io.verbenatrack.settings;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Requires the identifiers and gRPC addresses of the peers and of this instance to be
 * unique.
 */
record PeersAreUnique() implements SettingsRule {

	@Override
	public Optional<Violation> violation(InstanceSettings settings) {
		Set<Object> seen = new HashSet<>();
		seen.add(settings.instance());
		seen.add(settings.grpc());
		for (PeerSettings peer : settings.peers()) {
			if (!seen.add(peer.instance())) {
				return Optional.of(new Violation("peers", "names '" + peer.instance() + "' twice.",
						"List each other instance once, and not this one."));
			}
			if (!seen.add(peer.grpc())) {
				return Optional.of(new Violation("peers", "has the address '" + peer.grpc() + "' twice.",
						"Give each instance its own address."));
			}
		}
		return Optional.empty();
	}

}
