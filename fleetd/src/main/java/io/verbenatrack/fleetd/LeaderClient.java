package io.verbenatrack.fleetd;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;

import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.protocol.entry.CommandReply;
import io.verbenatrack.protocol.entry.CommandRequest;
import io.verbenatrack.protocol.entry.EntryServiceGrpc;

/**
 * Sends calls to the leader. It finds the leader among the control replicas and repeats a
 * call until it is answered or its timeout expires.
 *
 * <p>
 * All calls are idempotent. A connection on which an attempt timed out is closed and
 * reopened, since it still looks open after its network path was lost.
 */
public final class LeaderClient implements FleetClient, AutoCloseable {

	/** Several times the duration of a commit on a slow disk. */
	private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(700);

	/**
	 * No further attempt starts with less time than this, since it could not be answered
	 * and would only make the outcome of the call unknown.
	 */
	private static final Duration MIN_ATTEMPT_TIMEOUT = Duration.ofMillis(100);

	/** The delay before the next attempt, after a failure or while no leader is known. */
	private static final Duration RETRY_DELAY = Duration.ofMillis(50);

	/**
	 * The retry delay that is recommended when no leader answers: twice the duration of
	 * an election.
	 */
	private static final long NO_LEADER_RETRY_MILLIS = 2000;

	private final ConcurrentHashMap<String, ManagedChannel> channels = new ConcurrentHashMap<>();

	private final int port;

	private final CallCodec codec;

	private final ScheduledExecutorService timer;

	private final MonotonicClock clock;

	private volatile List<String> seeds;

	private volatile Optional<String> leader = Optional.empty();

	private volatile int nextSeedIndex;

	/**
	 * Creates a client. Connections are opened on first use.
	 * @param seeds the hosts of the control replicas to try
	 * @param port the port on which every replica serves calls of other instances
	 * @param codec encodes calls and decodes replies
	 * @param timer schedules retries
	 * @param clock the monotonic clock
	 */
	public LeaderClient(List<String> seeds, int port, CallCodec codec, ScheduledExecutorService timer,
			MonotonicClock clock) {
		this.seeds = List.copyOf(seeds);
		this.port = port;
		this.codec = codec;
		this.timer = timer;
		this.clock = clock;
	}

	/**
	 * Replaces the control replicas to try.
	 * @param hosts the hosts of the replicas
	 */
	public void seeds(List<String> hosts) {
		this.seeds = List.copyOf(hosts);
	}

	@Override
	public CompletableFuture<FleetReply> call(FleetCall call, Duration timeout) {
		Attempts attempts = new Attempts(call, this.clock.nanoTime() + timeout.toNanos());
		attempts.start(this.leader);
		return attempts.result;
	}

	private ManagedChannel channel(String host) {
		return this.channels.computeIfAbsent(host,
				(target) -> NettyChannelBuilder.forAddress(target, this.port)
					.usePlaintext()
					.disableRetry()
					.directExecutor()
					.build());
	}

	// The other calls on the connection may still be answered; each has its own deadline.
	private void discardChannel(String host, ManagedChannel channel) {
		if (this.channels.remove(host, channel)) {
			channel.shutdown();
		}
	}

	private String nextSeed() {
		List<String> hosts = this.seeds;
		return hosts.get(Math.floorMod(this.nextSeedIndex++, hosts.size()));
	}

	@Override
	public void close() {
		this.channels.values().forEach(ManagedChannel::shutdownNow);
		this.channels.clear();
	}

	/** The consecutive attempts of one call. */
	private final class Attempts {

		private final CompletableFuture<FleetReply> result = new CompletableFuture<>();

		private final FleetCall call;

		private final long deadlineNanos;

		private boolean attempted;

		private boolean mayHaveArrived;

		private volatile boolean attemptSent;

		private Attempts(FleetCall call, long deadlineNanos) {
			this.call = call;
			this.deadlineNanos = deadlineNanos;
		}

		private void start(Optional<String> hint) {
			try {
				startAttempt(hint);
			}
			catch (RuntimeException ex) {
				this.mayHaveArrived |= this.attemptSent;
				scheduleRetry();
			}
		}

		private void startAttempt(Optional<String> hint) {
			long remainingNanos = this.deadlineNanos - LeaderClient.this.clock.nanoTime();
			if (remainingNanos <= (this.attempted ? MIN_ATTEMPT_TIMEOUT.toNanos() : 0)) {
				this.result.complete(
						this.mayHaveArrived ? new FleetReply.OutcomeUnknown()
								: new FleetReply.Refused(new Problem(ProblemKind.UNAVAILABLE,
										"No leader of the fleet answered.", "Come back later."),
										NO_LEADER_RETRY_MILLIS));
				return;
			}
			this.attempted = true;
			this.attemptSent = false;
			String host = hint.orElseGet(LeaderClient.this::nextSeed);
			ManagedChannel channel = channel(host);
			CommandRequest request = CommandRequest.newBuilder()
				.setCommand(ByteString.copyFrom(LeaderClient.this.codec.encode(this.call)))
				.build();
			EntryServiceGrpc.newStub(channel)
				.withInterceptors(new StreamCreationInterceptor(() -> this.attemptSent = true))
				.withDeadlineAfter(Math.min(remainingNanos, ATTEMPT_TIMEOUT.toNanos()), TimeUnit.NANOSECONDS)
				.execute(request, new ReplyObserver(this, host, channel));
		}

		private void handleReply(String host, FleetReply reply) {
			if (!(reply instanceof FleetReply.NotLeading notLeading)) {
				LeaderClient.this.leader = Optional.of(host);
				this.result.complete(reply);
				return;
			}
			forgetLeader(host);
			Optional<String> hint = notLeading.leader()
				.map(InstanceId::value)
				.filter((leaderHost) -> !leaderHost.equals(host));
			if (hint.isPresent() && LeaderClient.this.leader.isEmpty()) {
				LeaderClient.this.leader = hint;
				start(hint);
			}
			else {
				scheduleRetry();
			}
		}

		private void handleFailure(String host, ManagedChannel channel, Throwable failure) {
			Status.Code code = Status.fromThrowable(failure).getCode();
			this.mayHaveArrived |= this.attemptSent;
			if (code == Status.Code.DEADLINE_EXCEEDED) {
				discardChannel(host, channel);
			}
			else if (code == Status.Code.UNAVAILABLE) {
				// Without this, a replica that was away for long is not reached for long.
				channel.resetConnectBackoff();
			}
			forgetLeader(host);
			scheduleRetry();
		}

		private void forgetLeader(String host) {
			if (LeaderClient.this.leader.filter(host::equals).isPresent()) {
				LeaderClient.this.leader = Optional.empty();
			}
		}

		private void scheduleRetry() {
			try {
				LeaderClient.this.timer.schedule(() -> start(LeaderClient.this.leader), RETRY_DELAY.toMillis(),
						TimeUnit.MILLISECONDS);
			}
			catch (RejectedExecutionException ex) {
				this.result.complete(new FleetReply.OutcomeUnknown());
			}
		}

	}

	private final class ReplyObserver implements StreamObserver<CommandReply> {

		private final Attempts attempts;

		private final String host;

		private final ManagedChannel channel;

		private boolean replied;

		private ReplyObserver(Attempts attempts, String host, ManagedChannel channel) {
			this.attempts = attempts;
			this.host = host;
			this.channel = channel;
		}

		@Override
		public void onNext(CommandReply reply) {
			this.replied = true;
			FleetReply decoded;
			try {
				decoded = LeaderClient.this.codec.decodeReply(reply.getReply().toByteArray());
			}
			catch (RuntimeException ex) {
				this.attempts.handleFailure(this.host, this.channel, ex);
				return;
			}
			this.attempts.handleReply(this.host, decoded);
		}

		@Override
		public void onError(Throwable failure) {
			if (!this.replied) {
				this.attempts.handleFailure(this.host, this.channel, failure);
			}
		}

		@Override
		public void onCompleted() {
			if (!this.replied) {
				this.attempts.handleFailure(this.host, this.channel,
						Status.UNAVAILABLE.withDescription("The replica gave no reply.").asRuntimeException());
			}
		}

	}

}
