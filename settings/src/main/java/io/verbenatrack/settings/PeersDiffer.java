package io.verbenatrack.settings;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Each peer has an identifier and an address that no other instance has.
 */
record PeersDiffer() implements SettingsRule {

	@Override
	public Optional<Violation> violation(InstanceSettings settings) {
		Set<Object> taken = new HashSet<>();
		taken.add(settings.instance());
		taken.add(settings.grpc());
		for (PeerSettings peer : settings.peers()) {
			if (!taken.add(peer.instance())) {
				return Optional.of(new Violation("peers", "names '" + peer.instance() + "' twice.",
						"List each other instance once, and not this one."));
			}
			if (!taken.add(peer.grpc())) {
				return Optional.of(new Violation("peers", "has the address '" + peer.grpc() + "' twice.",
						"Give each instance its own address."));
			}
		}
		return Optional.empty();
	}

}
