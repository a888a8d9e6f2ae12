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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.protobuf.ByteString;
import io.grpc.stub.StreamObserver;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.model.Closer;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.protocol.entry.CommandReply;
import io.verbenatrack.protocol.entry.CommandRequest;
import io.verbenatrack.protocol.entry.EntryServiceGrpc;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LeaderClient}: it finds the leader, and reports a call as refused only
 * if the call certainly had no effect.
 */
public class LeaderClientTests {

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration WARM_UP_TIMEOUT = Duration.ofSeconds(20);

	/** Long enough for a pause of over a second between two attempts to connect. */
	private static final Duration REFUSAL = Duration.ofMillis(11_300);

	private static final FleetCall CALL = new FleetCall.ReadConfiguration();

	private final CallCodec codec = new CallCodec();

	private Closer closer;

	private int port;

	// The first call of a process can take longer than an attempt may.
	@BeforeClass
	void warmUp() throws IOException {
		open();
		startReplica("127.0.0.1", (call, timeout) -> CompletableFuture.completedFuture(new FleetReply.Stored()));
		client("127.0.0.1").call(CALL, WARM_UP_TIMEOUT).join();
		close();
	}

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

	private LeaderClient client(String... seeds) {
		ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
		this.closer.register(timer::shutdownNow);
		return this.closer
			.register(new LeaderClient(List.of(seeds), this.port, this.codec, timer, MonotonicClock.system()));
	}

	private FleetReply call(String... seeds) {
		return client(seeds).call(CALL, CALL_TIMEOUT).join();
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

	// Guards against a call that is never answered when a reply cannot be decoded.
	@Test
	public void unreadableReplyHasUnknownOutcome() throws Exception {
		this.closer.register(new GrpcServer(new InetSocketAddress("127.0.0.1", this.port),
				List.of(new EntryServiceGrpc.EntryServiceImplBase() {

					@Override
					public void execute(CommandRequest request, StreamObserver<CommandReply> observer) {
						observer.onNext(CommandReply.newBuilder().setReply(ByteString.copyFromUtf8("?")).build());
						observer.onCompleted();
					}

				})));
		assertThat(client("127.0.0.1").call(CALL, CALL_TIMEOUT).get(5, TimeUnit.SECONDS))
			.isEqualTo(new FleetReply.OutcomeUnknown());
	}

	// Guards against an exception, instead of a reply, when no replica is known.
	@Test
	public void callWithoutReplicasIsRefused() {
		assertThat(call()).isInstanceOf(FleetReply.Refused.class);
	}

	// Guards against a replica that is back for seconds before a client calls it again.
	@Test
	public void replicaIsReachedSoonAfterLongRefusal() throws Exception {
		LeaderClient client = client("127.0.0.1");
		long startedNanos = System.nanoTime();
		while (System.nanoTime() - startedNanos < REFUSAL.toNanos()) {
			client.call(CALL, Duration.ofMillis(400)).join();
		}
		startReplica("127.0.0.1", (call, timeout) -> CompletableFuture.completedFuture(new FleetReply.Stored()));
		assertThat(client.call(CALL, Duration.ofMillis(1200)).join()).isEqualTo(new FleetReply.Stored());
	}

	// Guards against a slow call that cancels the other calls to the same replica.
	@Test
	public void slowCallDoesNotCancelOthers() throws Exception {
		AtomicInteger others = new AtomicInteger();
		startReplica("127.0.0.1", (call, timeout) -> switch (call) {
			case FleetCall.Probe probe -> new CompletableFuture<>();
			case FleetCall.AskState ask -> {
				others.incrementAndGet();
				yield new CompletableFuture<FleetReply>().completeOnTimeout(new FleetReply.NoSuchJob(), 300,
						TimeUnit.MILLISECONDS);
			}
			default -> CompletableFuture.completedFuture(new FleetReply.Stored());
		});
		LeaderClient client = client("127.0.0.1");
		client.call(CALL, CALL_TIMEOUT).join();
		client.call(new FleetCall.Probe(), CALL_TIMEOUT);
		TimeUnit.MILLISECONDS.sleep(500);
		FleetCall ask = new FleetCall.AskState(new FleetCall.Origin("host", "/q/", ""));
		assertThat(client.call(ask, CALL_TIMEOUT).join()).isEqualTo(new FleetReply.NoSuchJob());
		assertThat(others).hasValue(1);
	}

}
