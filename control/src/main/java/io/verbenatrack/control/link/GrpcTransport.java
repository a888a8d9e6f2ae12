package io.verbenatrack.control.link;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import io.verbenatrack.control.ReplicaPeer;
import io.verbenatrack.control.ReplicaSettings;
import io.verbenatrack.control.driver.ReplicaTransport;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.protocol.control.ReplicaMember;
import io.verbenatrack.protocol.control.ReplicaMessage;

/**
 * Carries messages to other replicas over gRPC, one stream to each.
 */
public final class GrpcTransport implements ReplicaTransport {

	private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();

	private final Map<String, String> addresses = new TreeMap<>();

	private final ReplicaSettings settings;

	private final MonotonicClock clock;

	/**
	 * Creates a transport; connections are made when there is something to send.
	 * @param settings the settings of this replica
	 * @param clock the monotonic clock
	 */
	public GrpcTransport(ReplicaSettings settings, MonotonicClock clock) {
		this.settings = settings;
		this.clock = clock;
		for (ReplicaPeer peer : settings.replicas()) {
			this.addresses.put(peer.instance().value(), peer.address());
		}
	}

	@Override
	public void send(ReplicaMember to, ReplicaMessage message) {
		String address = to.getAddress().isEmpty() ? this.addresses.get(to.getInstance()) : to.getAddress();
		if (address == null) {
			return;
		}
		this.connections
			.computeIfAbsent(address,
					(target) -> new PeerConnection(GrpcMessageStream.factory(target), this.clock,
							this.settings.timings().silenceTimeout()))
			.send(message);
	}

	/**
	 * How often a connection that had gone silent or broken was replaced.
	 * @return the number of replacements
	 */
	public long reconnections() {
		return this.connections.values().stream().mapToLong(PeerConnection::reconnections).sum();
	}

	/**
	 * How many bytes of messages were sent.
	 * @return the number of bytes, without framing
	 */
	public long sentBytes() {
		return this.connections.values().stream().mapToLong(PeerConnection::sentBytes).sum();
	}

	@Override
	public void close() {
		this.connections.values().forEach(PeerConnection::close);
	}

}
