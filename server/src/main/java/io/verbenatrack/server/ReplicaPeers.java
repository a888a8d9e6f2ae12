package io.verbenatrack.server;

import java.util.ArrayList;
import java.util.List;

import io.verbenatrack.control.ReplicaPeer;
import io.verbenatrack.settings.InstanceSettings;
import io.verbenatrack.settings.PeerSettings;

/**
 * Derives the addresses of the control replicas from the settings.
 */
final class ReplicaPeers {

	private ReplicaPeers() {
	}

	static ReplicaPeer self(InstanceSettings settings) {
		return new ReplicaPeer(settings.instance(), settings.grpc().host(), settings.grpc().port());
	}

	static List<ReplicaPeer> all(InstanceSettings settings) {
		List<ReplicaPeer> replicas = new ArrayList<>();
		if (settings.replica()) {
			replicas.add(self(settings));
		}
		settings.peers().stream().filter(PeerSettings::replica).map(ReplicaPeers::peer).forEach(replicas::add);
		return replicas;
	}

	private static ReplicaPeer peer(PeerSettings peer) {
		return new ReplicaPeer(peer.instance(), peer.grpc().host(), peer.grpc().port());
	}

}
