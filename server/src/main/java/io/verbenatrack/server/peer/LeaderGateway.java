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
 * Finds the leading replica and sends it a command until it answers or time runs out.
 *
 * <p>
 * Every command may be sent again without harm, so a lost answer costs only a resend.
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

	private volatile int next;

	/**
	 * Creates the gateway.
	 * @param self this instance
	 * @param local carries out commands here, if this instance is a replica
	 * @param replicas the other replicas
	 * @param channels connections to other instances
	 * @param codec encodes commands and replies
	 * @param timer times resends
	 * @param clock reads the time
	 * @param timeout when it gives up
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
		new Attempts(command, result, this.clock.nanoTime() + this.timeout.toNanos())
			.next(this.local.map((replica) -> this.self));
		return result;
	}

	/** The attempts of one command; one is under way at a time. */
	private final class Attempts {

		private final EntryCommand command;

		private final CompletableFuture<EntryReply> result;

		private final long deadlineNanos;

		private boolean mayHaveArrived;

		private Attempts(EntryCommand command, CompletableFuture<EntryReply> result, long deadlineNanos) {
			this.command = command;
			this.result = result;
			this.deadlineNanos = deadlineNanos;
		}

		private void next(Optional<InstanceId> hint) {
			if (LeaderGateway.this.clock.nanoTime() >= this.deadlineNanos) {
				this.result.complete(new EntryReply.Failed(
						this.mayHaveArrived ? CommandProblems.outcomeUnknown() : CommandProblems.noLeader()));
				return;
			}
			Supplier<Optional<InstanceId>> other = this::another;
			Optional<InstanceId> target = hint.or(other);
			if (target.isEmpty()) {
				later(Optional.empty());
			}
			else if (target.get().equals(LeaderGateway.this.self)) {
				LeaderGateway.this.local.orElseThrow().execute(this.command).thenAccept(this::replied);
			}
			else {
				call(target.get());
			}
		}

		private Optional<InstanceId> another() {
			if (LeaderGateway.this.replicas.isEmpty()) {
				return LeaderGateway.this.local.map((replica) -> LeaderGateway.this.self);
			}
			int place = Math.floorMod(LeaderGateway.this.next, LeaderGateway.this.replicas.size());
			return Optional.of(LeaderGateway.this.replicas.get(place));
		}

		private void call(InstanceId instance) {
			LeaderGateway.this.peers.call(instance, this.command, ATTEMPT_TIMEOUT).thenAccept((answer) -> {
				switch (answer) {
					case PeerCaller.CallResult.Replied replied -> replied(replied.reply());
					case PeerCaller.CallResult.NoReply silent -> {
						this.mayHaveArrived |= silent.sent();
						LeaderGateway.this.next++;
						later(Optional.empty());
					}
				}
			});
		}

		private void replied(EntryReply reply) {
			if (!(reply instanceof EntryReply.NotLeading notLeading)) {
				this.result.complete(reply);
				return;
			}
			Optional<InstanceId> leader = notLeading.leader().filter(this::isReachable);
			if (leader.isEmpty()) {
				LeaderGateway.this.next++;
			}
			later(leader);
		}

		private boolean isReachable(InstanceId instance) {
			return instance.equals(LeaderGateway.this.self) || LeaderGateway.this.replicas.contains(instance);
		}

		private void later(Optional<InstanceId> hint) {
			if (LeaderGateway.this.timer.isShutdown()) {
				this.result.complete(new EntryReply.Failed(CommandProblems.outcomeUnknown()));
				return;
			}
			LeaderGateway.this.timer.schedule(() -> next(hint), RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
		}

	}

}
