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
 * Holds a connection to each other instance.
 *
 * <p>
 * A connection whose path was lost looks open. A call that meets its deadline replaces
 * the channel, so that the next call opens a new connection.
 */
public final class PeerChannels implements AutoCloseable {

	private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(5);

	private final Map<InstanceId, PeerSettings> peers = new ConcurrentHashMap<>();

	private final Map<InstanceId, ManagedChannel> channels = new ConcurrentHashMap<>();

	/**
	 * Creates the holder; connections open on their first use.
	 * @param peers the other instances
	 */
	public PeerChannels(Collection<PeerSettings> peers) {
		peers.forEach((peer) -> this.peers.put(peer.instance(), peer));
	}

	/**
	 * The channel to an instance.
	 * @param instance the instance
	 * @return its channel, or empty when no such peer is set
	 */
	public Optional<ManagedChannel> channel(InstanceId instance) {
		PeerSettings peer = this.peers.get(instance);
		return Optional.ofNullable(peer).map((known) -> this.channels.computeIfAbsent(instance, (id) -> open(known)));
	}

	private static ManagedChannel open(PeerSettings peer) {
		return NettyChannelBuilder.forAddress(peer.grpc().host(), peer.grpc().port())
			.usePlaintext()
			.disableRetry()
			.idleTimeout(IDLE_TIMEOUT.toSeconds(), TimeUnit.SECONDS)
			.build();
	}

	/**
	 * Replaces a channel that did not answer; its pending calls end by their own
	 * deadlines.
	 * @param instance the instance
	 * @param unresponsive the channel that did not answer
	 */
	public void replace(InstanceId instance, ManagedChannel unresponsive) {
		if (this.channels.remove(instance, unresponsive)) {
			unresponsive.shutdown();
		}
	}

	/**
	 * Replaces a channel whose call met its deadline.
	 * @param instance the instance
	 * @param channel the channel of the call
	 * @param failure how the call ended
	 */
	public void replaceIfTimedOut(InstanceId instance, ManagedChannel channel, Throwable failure) {
		if (Status.fromThrowable(failure).getCode() == Status.Code.DEADLINE_EXCEEDED) {
			replace(instance, channel);
		}
	}

	/**
	 * The other instances.
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
