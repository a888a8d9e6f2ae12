package io.verbenatrack.fleetd;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;

import io.grpc.BindableService;
import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;

/**
 * Serves gRPC calls from other instances. The services do not block, so they run directly
 * on the network threads.
 */
public final class GrpcServer implements AutoCloseable {

	private final Server server;

	/**
	 * Starts the server.
	 * @param address the address to listen on
	 * @param services the services to offer
	 * @throws IOException if the server cannot listen on the address
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
