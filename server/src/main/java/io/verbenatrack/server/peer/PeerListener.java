package io.verbenatrack.server.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;

import io.grpc.BindableService;
import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;

import io.verbenatrack.model.Closer;
import io.verbenatrack.settings.SocketAddress;

/**
 * The gRPC server for calls from other instances.
 */
public final class PeerListener {

	private final SocketAddress address;

	private final Closer closer;

	private final List<BindableService> services;

	/**
	 * Creates the listener.
	 * @param address the address to listen on
	 * @param closer shuts the server down
	 * @param services the gRPC services
	 */
	public PeerListener(SocketAddress address, Closer closer, List<BindableService> services) {
		this.address = address;
		this.closer = closer;
		this.services = List.copyOf(services);
	}

	/**
	 * Opens the listener.
	 * @throws IOException if the address cannot be used
	 */
	public void open() throws IOException {
		NettyServerBuilder builder = NettyServerBuilder
			.forAddress(new InetSocketAddress(this.address.host(), this.address.port()));
		for (BindableService service : this.services) {
			builder.addService(service);
		}
		Server server = builder.build().start();
		this.closer.register(server::shutdownNow);
	}

}
