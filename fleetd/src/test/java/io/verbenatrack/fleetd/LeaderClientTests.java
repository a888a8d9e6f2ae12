package io.verbenatrack.fleetd;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.model.Closer;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.MonotonicClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LeaderClient}: it finds the leader, and reports a call as refused only
 * if the call certainly had no effect.
 */
public class LeaderClientTests {

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

	private static final FleetCall CALL = new FleetCall.ReadConfiguration();

	private final CallCodec codec = new CallCodec();

	private Closer closer;

	private int port;

	@BeforeMethod
	void open() throws IOException {
		this.closer = new Closer();
		try (ServerSocket socket = new ServerSocket(0)) {
			this.port = socket.getLocalPort();
		}
	}

	@AfterMethod
	void close() {
		this.closer.close();
	}

	private void startReplica(String host, FleetClient client) throws IOException {
		this.closer.register(
				new GrpcServer(new InetSocketAddress(host, this.port), List.of(new FleetService(client, this.codec))));
	}

	private FleetReply call(String... seeds) {
		ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
		this.closer.register(timer::shutdownNow);
		LeaderClient client = this.closer
			.register(new LeaderClient(List.of(seeds), this.port, this.codec, timer, MonotonicClock.system()));
		return client.call(CALL, CALL_TIMEOUT).join();
	}

	@Test
	public void leaderIsFoundThroughFollower() throws IOException {
		startReplica("127.0.0.1", (call, timeout) -> CompletableFuture
			.completedFuture(new FleetReply.NotLeading(Optional.of(new InstanceId("127.0.0.2")))));
		startReplica("127.0.0.2", (call, timeout) -> CompletableFuture.completedFuture(new FleetReply.Stored()));
		assertThat(call("127.0.0.1")).isEqualTo(new FleetReply.Stored());
	}

	@Test
	public void unsentCallIsRefused() {
		assertThat(call("127.0.0.1")).isInstanceOf(FleetReply.Refused.class);
	}

	@Test
	public void callThatNoReplicaAcceptsIsRefused() throws IOException {
		startReplica("127.0.0.1",
				(call, timeout) -> CompletableFuture.completedFuture(new FleetReply.NotLeading(Optional.empty())));
		assertThat(call("127.0.0.1")).isInstanceOf(FleetReply.Refused.class);
	}

	@Test
	public void unansweredCallHasUnknownOutcome() throws IOException {
		AtomicInteger calls = new AtomicInteger();
		startReplica("127.0.0.1", (call, timeout) -> {
			calls.incrementAndGet();
			return new CompletableFuture<>();
		});
		assertThat(call("127.0.0.1")).isEqualTo(new FleetReply.OutcomeUnknown());
		assertThat(calls).hasPositiveValue();
	}

}
