package io.verbenatrack.server.peer;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.settings.PeerSettings;

/**
 * Holds a gRPC channel to each of the other instances.
 *
 * <p>
 * A connection whose network path was lost still appears open. A call that exceeds its
 * deadline therefore replaces the channel, and the next call opens a new connection.
 */
public final class PeerChannels implements AutoCloseable {

	private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(5);

	private final Map<InstanceId, PeerSettings> peers = new ConcurrentHashMap<>();

	private final Map<InstanceId, ManagedChannel> channels = new ConcurrentHashMap<>();

	/**
	 * Creates the holder. Channels are opened when they are first used.
	 * @param peers the other instances
	 */
	public PeerChannels(Collection<PeerSettings> peers) {
		peers.forEach((peer) -> this.peers.put(peer.instance(), peer));
	}

	/**
	 * Returns the channel to an instance.
	 * @param instance the instance
	 * @return its channel, or empty if the settings have no such peer
	 */
	public Optional<ManagedChannel> channel(InstanceId instance) {
		PeerSettings peer = this.peers.get(instance);
		return Optional.ofNullable(peer)
			.map((settings) -> this.channels.computeIfAbsent(instance, (id) -> open(settings)));
	}

	private static ManagedChannel open(PeerSettings peer) {
		return NettyChannelBuilder.forAddress(peer.grpc().host(), peer.grpc().port())
			.usePlaintext()
			.disableRetry()
			.idleTimeout(IDLE_TIMEOUT.toSeconds(), TimeUnit.SECONDS)
			.build();
	}

	/**
	 * Replaces a channel that did not respond. Its pending calls run until their own
	 * deadlines.
	 * @param instance the instance
	 * @param unresponsive the channel that did not respond
	 */
	public void replace(InstanceId instance, ManagedChannel unresponsive) {
		if (this.channels.remove(instance, unresponsive)) {
			unresponsive.shutdown();
		}
	}

	/**
	 * Replaces a channel if its call exceeded the deadline.
	 * @param instance the instance
	 * @param channel the channel of the call
	 * @param failure the failure of the call
	 */
	public void replaceIfTimedOut(InstanceId instance, ManagedChannel channel, Throwable failure) {
		if (Status.fromThrowable(failure).getCode() == Status.Code.DEADLINE_EXCEEDED) {
			replace(instance, channel);
		}
	}

	/**
	 * Returns the other instances.
	 * @return their settings
	 */
	public Collection<PeerSettings> peers() {
		return this.peers.values();
	}

	@Override
	public void close() {
		this.channels.values().forEach(ManagedChannel::shutdownNow);
		this.channels.clear();
	}

}
