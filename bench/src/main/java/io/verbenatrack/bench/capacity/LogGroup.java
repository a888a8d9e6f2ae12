package io.verbenatrack.bench.capacity;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.google.protobuf.ByteString;
import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;

import io.verbenatrack.control.ReplicaPeer;
import io.verbenatrack.control.ReplicaSettings;
import io.verbenatrack.control.StateMachine;
import io.verbenatrack.control.configuration.ConfigurationAuthority;
import io.verbenatrack.control.driver.Replica;
import io.verbenatrack.control.link.GrpcTransport;
import io.verbenatrack.control.link.ReplicaGrpcService;
import io.verbenatrack.model.Closer;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.LeaseClock;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.model.Revision;

/**
 * Replicas of one log in this process that communicate through gRPC over loopback and
 * sync to disk.
 */
final class LogGroup implements AutoCloseable {

	private static final long ELECTION_LIMIT_SECONDS = 30;

	private static final long POLL_MILLIS = 5;

	private final Closer closer = new Closer();

	private final List<Replica> replicas = new ArrayList<>();

	private final List<CountingTransport> transports = new ArrayList<>();

	private final Path folder;

	LogGroup(int size) throws IOException {
		this.folder = Files.createTempDirectory("capacity-log");
		this.closer.register(this::deleteFolder);
		List<ReplicaPeer> peers = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			peers.add(new ReplicaPeer(new InstanceId("replica-" + i), "127.0.0.1", freePort()));
		}
		for (ReplicaPeer peer : peers) {
			start(peer, peers);
		}
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return socket.getLocalPort();
		}
	}

	private void start(ReplicaPeer self, List<ReplicaPeer> peers) throws IOException {
		MonotonicClock clock = MonotonicClock.system();
		Path data = Files.createDirectory(this.folder.resolve(self.instance().value()));
		ReplicaSettings settings = new ReplicaSettings("capacity", self, peers, data);
		CountingTransport transport = new CountingTransport(new GrpcTransport(settings, clock));
		Replica replica = Replica.start(settings, new EmptyStateMachine(), transport, (notice, detail) -> {
		}, LeaseClock.exact(clock));
		ConfigurationAuthority authority = new ConfigurationAuthority(replica,
				() -> new ConfigurationAuthority.Applied("", new Revision(1, 0), ByteString.EMPTY),
				settings.timings().lease());
		Server server = NettyServerBuilder.forAddress(new InetSocketAddress(self.host(), self.port()))
			.addService(new ReplicaGrpcService(replica, authority, clock))
			.build()
			.start();
		this.closer.register(server::shutdownNow);
		this.closer.register(replica);
		this.replicas.add(replica);
		this.transports.add(transport);
	}

	Replica awaitLeader() throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(ELECTION_LIMIT_SECONDS);
		while (System.nanoTime() < deadlineNanos) {
			for (Replica replica : this.replicas) {
				if (replica.leads()) {
					return replica;
				}
			}
			TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
		}
		throw new IllegalStateException(this.replicas.size() + " replicas elected no leader within "
				+ ELECTION_LIMIT_SECONDS + " s. Run the bench on an idle machine.");
	}

	CountingTransport transport(Replica replica) {
		return this.transports.get(this.replicas.indexOf(replica));
	}

	List<CountingTransport> transports() {
		return this.transports;
	}

	private void deleteFolder() throws IOException {
		try (Stream<Path> files = Files.walk(this.folder)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(file);
			}
		}
	}

	@Override
	public void close() {
		this.closer.close();
	}

	/** Keeps no state, so that only the cost of the log is measured. */
	private static final class EmptyStateMachine implements StateMachine {

		@Override
		public byte[] apply(long index, byte[] command) {
			return new byte[0];
		}

		@Override
		public void snapshot(OutputStream output) {
			// The state is empty.
		}

		@Override
		public void restore(InputStream snapshot) {
			// The state is empty.
		}

	}

}
