package io.verbenatrack.control.configuration;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.grpc.ManagedChannel;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;

import io.verbenatrack.control.ReplicaPeer;
import io.verbenatrack.protocol.control.ConfigurationReply;
import io.verbenatrack.protocol.control.ConfigurationRequest;
import io.verbenatrack.protocol.control.ReplicaServiceGrpc;

/**
 * Requests leases over gRPC. A connection without a reply in time is closed, because it
 * may be permanently unresponsive.
 */
public final class GrpcConfigurationClient implements ConfigurationClient {

	private final Map<String, ManagedChannel> channels = new HashMap<>();

	private final Duration timeout;

	/**
	 * Creates a client.
	 * @param timeout how long to wait for a reply
	 */
	public GrpcConfigurationClient(Duration timeout) {
		this.timeout = timeout;
	}

	@Override
	public synchronized Optional<ConfigurationReply> requestLease(ReplicaPeer replica, ConfigurationRequest request) {
		ManagedChannel channel = this.channels.computeIfAbsent(replica.address(),
				(address) -> NettyChannelBuilder.forTarget(address).usePlaintext().build());
		try {
			return Optional.of(ReplicaServiceGrpc.newBlockingStub(channel)
				.withDeadlineAfter(this.timeout.toMillis(), TimeUnit.MILLISECONDS)
				.configuration(request));
		}
		catch (StatusRuntimeException ex) {
			this.channels.remove(replica.address()).shutdownNow();
			return Optional.empty();
		}
	}

	@Override
	public synchronized void close() {
		this.channels.values().forEach(ManagedChannel::shutdownNow);
		this.channels.clear();
	}

}
