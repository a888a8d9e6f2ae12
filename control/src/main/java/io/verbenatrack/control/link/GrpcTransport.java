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
 * Sends messages to other replicas over gRPC, with one stream per replica.
 */
public final class GrpcTransport implements ReplicaTransport {

	private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();

	private final Map<String, String> addresses = new TreeMap<>();

	private final ReplicaSettings settings;

	private final MonotonicClock clock;

	/**
	 * Creates a transport. Connections are opened when the first message is sent.
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
	 * Returns how often an unresponsive or broken connection was replaced.
	 * @return the number of reconnections
	 */
	public long reconnections() {
		return this.connections.values().stream().mapToLong(PeerConnection::reconnections).sum();
	}

	/**
	 * Returns the total size of the sent messages.
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
