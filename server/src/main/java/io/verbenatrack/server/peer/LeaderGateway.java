package io.verbenatrack.server.peer;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.server.command.CommandCodec;
import io.verbenatrack.server.command.CommandExecutor;
import io.verbenatrack.server.command.CommandProblems;
import io.verbenatrack.server.command.EntryCommand;
import io.verbenatrack.server.command.EntryReply;

/**
 * Sends commands to the leading replica, retrying until it replies or the timeout has
 * passed.
 *
 * <p>
 * All commands are idempotent, so a command whose reply was lost is sent again.
 */
public final class LeaderGateway implements CommandExecutor {

	private static final Duration ATTEMPT_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration RETRY_DELAY = Duration.ofMillis(50);

	private final Optional<CommandExecutor> local;

	private final InstanceId self;

	private final List<InstanceId> replicas;

	private final PeerCaller peers;

	private final ScheduledExecutorService timer;

	private final MonotonicClock clock;

	private final Duration timeout;

	private volatile int replicaIndex;

	/**
	 * Creates the gateway.
	 * @param self this instance
	 * @param local executes commands on this instance, empty if it is not a replica
	 * @param replicas the other replicas
	 * @param channels the channels to the other instances
	 * @param codec encodes commands and replies
	 * @param timer schedules retries
	 * @param clock measures the timeout
	 * @param timeout how long to retry a command
	 */
	public LeaderGateway(InstanceId self, Optional<CommandExecutor> local, List<InstanceId> replicas,
			PeerChannels channels, CommandCodec codec, ScheduledExecutorService timer, MonotonicClock clock,
			Duration timeout) {
		this.self = self;
		this.local = local;
		this.replicas = List.copyOf(replicas);
		this.peers = new PeerCaller(channels, codec);
		this.timer = timer;
		this.clock = clock;
		this.timeout = timeout;
	}

	@Override
	public CompletableFuture<EntryReply> execute(EntryCommand command) {
		CompletableFuture<EntryReply> result = new CompletableFuture<>();
		new CommandAttempts(command, result, this.clock.nanoTime() + this.timeout.toNanos())
			.tryNext(this.local.map((replica) -> this.self));
		return result;
	}

	/** The attempts to execute one command; at most one is in progress. */
	private final class CommandAttempts {

		private final EntryCommand command;

		private final CompletableFuture<EntryReply> result;

		private final long deadlineNanos;

		private boolean mayHaveArrived;

		private CommandAttempts(EntryCommand command, CompletableFuture<EntryReply> result, long deadlineNanos) {
			this.command = command;
			this.result = result;
			this.deadlineNanos = deadlineNanos;
		}

		private void tryNext(Optional<InstanceId> hint) {
			if (LeaderGateway.this.clock.nanoTime() >= this.deadlineNanos) {
				this.result.complete(new EntryReply.Failed(
						this.mayHaveArrived ? CommandProblems.outcomeUnknown() : CommandProblems.noLeader()));
				return;
			}
			Supplier<Optional<InstanceId>> fallback = this::nextReplica;
			Optional<InstanceId> instance = hint.or(fallback);
			if (instance.isEmpty()) {
				retryLater(Optional.empty());
			}
			else if (instance.get().equals(LeaderGateway.this.self)) {
				LeaderGateway.this.local.orElseThrow().execute(this.command).thenAccept(this::handleReply);
			}
			else {
				call(instance.get());
			}
		}

		private Optional<InstanceId> nextReplica() {
			if (LeaderGateway.this.replicas.isEmpty()) {
				return LeaderGateway.this.local.map((replica) -> LeaderGateway.this.self);
			}
			int index = Math.floorMod(LeaderGateway.this.replicaIndex, LeaderGateway.this.replicas.size());
			return Optional.of(LeaderGateway.this.replicas.get(index));
		}

		private void call(InstanceId instance) {
			LeaderGateway.this.peers.call(instance, this.command, ATTEMPT_TIMEOUT).thenAccept((answer) -> {
				switch (answer) {
					case PeerCaller.CallResult.Replied replied -> handleReply(replied.reply());
					case PeerCaller.CallResult.NoReply noReply -> {
						this.mayHaveArrived |= noReply.mayHaveArrived();
						LeaderGateway.this.replicaIndex++;
						retryLater(Optional.empty());
					}
				}
			});
		}

		private void handleReply(EntryReply reply) {
			if (!(reply instanceof EntryReply.NotLeading notLeading)) {
				this.result.complete(reply);
				return;
			}
			Optional<InstanceId> leader = notLeading.leader().filter(this::isReachable);
			if (leader.isEmpty()) {
				LeaderGateway.this.replicaIndex++;
			}
			retryLater(leader);
		}

		private boolean isReachable(InstanceId instance) {
			return instance.equals(LeaderGateway.this.self) || LeaderGateway.this.replicas.contains(instance);
		}

		private void retryLater(Optional<InstanceId> hint) {
			if (LeaderGateway.this.timer.isShutdown()) {
				this.result.complete(new EntryReply.Failed(CommandProblems.outcomeUnknown()));
				return;
			}
			LeaderGateway.this.timer.schedule(() -> tryNext(hint), RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
		}

	}

}
