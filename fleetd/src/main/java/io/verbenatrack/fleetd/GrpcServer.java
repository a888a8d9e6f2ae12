package io.verbenatrack.fleetd;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;

import io.grpc.BindableService;
import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;

/**
 * Listens for calls of other instances. No service blocks, so they run on the threads
 * that read the connections.
 */
public final class GrpcServer implements AutoCloseable {

	private final Server server;

	/**
	 * Opens the listener.
	 * @param address where it listens
	 * @param services what it serves
	 * @throws IOException when the address cannot be used
	 */
	public GrpcServer(InetSocketAddress address, List<BindableService> services) throws IOException {
		NettyServerBuilder builder = NettyServerBuilder.forAddress(address).directExecutor();
		services.forEach(builder::addService);
		this.server = builder.build().start();
	}

	@Override
	public void close() {
		this.server.shutdownNow();
	}

}
