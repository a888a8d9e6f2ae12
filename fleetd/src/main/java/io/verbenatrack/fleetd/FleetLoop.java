package io.verbenatrack.fleetd;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Timer;

import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.control.ReplicatedLog;
import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.fleet.policy.FleetScheduler;
import io.verbenatrack.fleet.policy.FleetTimings;
import io.verbenatrack.fleet.state.FleetBatch;
import io.verbenatrack.fleet.state.FleetCodec;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.telemetry.EventLog;
import io.verbenatrack.telemetry.LogEvent;
import io.verbenatrack.telemetry.MetricName;
import io.verbenatrack.telemetry.Metrics;

/**
 * Decides on the fleet while this replica leads, in turns on a thread of its own.
 *
 * <p>
 * A turn takes the calls that wait, commits what they change, places waiting tasks on the
 * state after that, commits the starts, and only then answers. It answers only while the
 * leader's lease holds, so that a reply is never older than what another leader said.
 */
public final class FleetLoop implements FleetCaller, AutoCloseable {

	/** The most calls that wait; more are refused. */
	private static final int QUEUED_CALLS = 4096;

	/** The most calls in one turn, so that a burst does not hold up the first ones. */
	private static final int CALLS_PER_TURN = 256;

	/** How often timers are looked at when no call comes. */
	private static final Duration IDLE_TURN = Duration.ofMillis(40);

	/** When a caller may try again after the ring was full. */
	private static final long OVERLOAD_RETRY_MILLIS = 500;

	private final BlockingQueue<WaitingCall> calls = new ArrayBlockingQueue<>(QUEUED_CALLS);

	private final ReplicatedLog log;

	private final FleetStateMachine machine;

	private final FleetCodec codec;

	private final FleetTimings timings;

	private final MonotonicClock clock;

	private final InstantSource wallClock;

	private final EventLog events;

	private final Metrics metrics;

	private final Timer turns;

	private final Map<Class<?>, Counter> decisions = new HashMap<>();

	private final Thread thread;

	private volatile boolean closed;

	private Optional<LeaderTerm> leading = Optional.empty();

	/**
	 * Creates the loop; {@link #start} starts it.
	 * @param log the replicated log
	 * @param machine what the log drives
	 * @param codec encodes batches
	 * @param timings how long the leader waits
	 * @param clock the monotonic clock
	 * @param wallClock the time of day, for due times
	 * @param events takes the decisions
	 * @param metrics takes their number and how long they took
	 */
	public FleetLoop(ReplicatedLog log, FleetStateMachine machine, FleetCodec codec, FleetTimings timings,
			MonotonicClock clock, InstantSource wallClock, EventLog events, Metrics metrics) {
		this.log = log;
		this.machine = machine;
		this.codec = codec;
		this.timings = timings;
		this.clock = clock;
		this.wallClock = wallClock;
		this.events = events;
		this.metrics = metrics;
		this.turns = metrics.histogram(MetricName.FLEET_TURN_TIME);
		this.thread = Thread.ofPlatform().name("fleet").daemon().unstarted(this::run);
	}

	/**
	 * Starts the thread.
	 */
	public void start() {
		this.thread.start();
	}

	@Override
	public CompletableFuture<FleetReply> call(FleetCall call, Duration patience) {
		CompletableFuture<FleetReply> reply = new CompletableFuture<>();
		if (!this.log.leads()) {
			reply.complete(new FleetReply.NotLeading(this.log.leader()));
		}
		else if (!this.calls.offer(new WaitingCall(call, this.clock.nanoTime(), reply))) {
			reply.complete(new FleetReply.Refused(
					new Problem(ProblemKind.OVERLOADED, "Too many calls wait for the leader.", "Come back later."),
					OVERLOAD_RETRY_MILLIS));
		}
		return reply;
	}

	private void run() {
		while (!this.closed) {
			List<WaitingCall> taken = new ArrayList<>();
			try {
				WaitingCall first = this.calls.poll(IDLE_TURN.toMillis(), TimeUnit.MILLISECONDS);
				if (first != null) {
					taken.add(first);
					this.calls.drainTo(taken, CALLS_PER_TURN - 1);
				}
				long began = this.clock.nanoTime();
				turn(taken);
				this.turns.record(this.clock.nanoTime() - began, TimeUnit.NANOSECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
			catch (RuntimeException ex) {
				this.events.write(LogEvent.THREAD_FAILED, new EventLog.Field("thread", "fleet"),
						new EventLog.Field("problem", ex),
						new EventLog.Field("at", (ex.getStackTrace().length > 0) ? ex.getStackTrace()[0] : "unknown"));
				this.leading = Optional.empty();
				taken.forEach((call) -> call.reply().complete(new FleetReply.OutcomeUnknown()));
			}
		}
	}

	private void turn(List<WaitingCall> taken) {
		if (!this.log.leads()) {
			endTerm();
			taken.forEach((call) -> call.reply().complete(new FleetReply.NotLeading(this.log.leader())));
			return;
		}
		LeaderTerm present = beginTerm();
		List<CallDecision> decisions = new ArrayList<>();
		Outcome changes = commit(present, decideCalls(present, taken, decisions));
		boolean current = changes == Outcome.COMMITTED && placed(present) == Outcome.COMMITTED;
		present.leader.drainEvents().forEach((event) -> DecisionLines.write(this.events, present.term, event));
		answer(taken, decisions, changes, current);
		if (!current) {
			endTerm();
		}
	}

	private LeaderTerm beginTerm() {
		long term = this.log.term();
		if (this.leading.isEmpty() || this.leading.get().term != term) {
			FleetScheduler leader = this.machine
				.read((state) -> new FleetScheduler(state, this.timings, term, this.clock.nanoTime()));
			long sequence = this.machine.read((state) -> state.lastSequence(term));
			this.leading = Optional.of(new LeaderTerm(term, leader, sequence));
			this.events.write(LogEvent.FLEET_LEADER_BEGAN, new EventLog.Field("term", term));
		}
		return this.leading.get();
	}

	private void endTerm() {
		if (this.leading.isPresent()) {
			this.events.write(LogEvent.FLEET_LEADER_ENDED, new EventLog.Field("term", this.leading.get().term));
			this.leading = Optional.empty();
		}
	}

	private List<FleetCommand> decideCalls(LeaderTerm present, List<WaitingCall> taken, List<CallDecision> decisions) {
		return this.machine.read((state) -> {
			CallRules rules = new CallRules(present.leader, state, this.wallClock.millis());
			List<FleetCommand> commands = new ArrayList<>();
			for (WaitingCall call : taken) {
				CallDecision decision = rules.decide(call.call(), call.arrivedNanos());
				decisions.add(decision);
				commands.addAll(decision.commands());
			}
			commands.addAll(present.leader.detectLostRuns(this.clock.nanoTime()));
			return commands;
		});
	}

	private Outcome placed(LeaderTerm present) {
		return commit(present, this.machine
			.read((state) -> present.leader.placeTasks(this.clock.nanoTime(), this.wallClock.millis())));
	}

	private Outcome commit(LeaderTerm present, List<FleetCommand> commands) {
		if (commands.isEmpty()) {
			return Outcome.COMMITTED;
		}
		FleetBatch batch = new FleetBatch(present.term, present.sequence + 1, commands);
		Outcome outcome = switch (this.log.propose(this.codec.encode(batch)).join()) {
			case ProposalOutcome.Committed committed ->
				FleetStateMachine.applied(committed.result()) ? Outcome.COMMITTED : Outcome.NOT_DONE;
			case ProposalOutcome.NotLeader notLeader -> Outcome.NOT_DONE;
			case ProposalOutcome.Refused refused -> Outcome.NOT_DONE;
			case ProposalOutcome.Unknown unknown -> Outcome.UNKNOWN;
		};
		if (outcome == Outcome.COMMITTED) {
			present.sequence++;
			for (FleetCommand command : commands) {
				DecisionLines.write(this.events, present.term, command);
				this.decisions
					.computeIfAbsent(command.getClass(),
							(kind) -> this.metrics.counter(MetricName.FLEET_DECISIONS, kind.getSimpleName()))
					.increment();
			}
		}
		else {
			this.events.write(LogEvent.FLEET_COMMIT_FAILED, new EventLog.Field("term", present.term),
					new EventLog.Field("commands", commands.size()), new EventLog.Field("outcome", outcome));
		}
		return outcome;
	}

	// A call whose change was committed is never said to be not done, whatever came
	// after.
	private void answer(List<WaitingCall> taken, List<CallDecision> decisions, Outcome changes, boolean current) {
		for (int place = 0; place < taken.size(); place++) {
			CallDecision decision = decisions.get(place);
			boolean certain = current && this.log.leads();
			FleetReply reply;
			if (certain) {
				reply = this.machine.read((state) -> decision.reply().get());
			}
			else if (changes == Outcome.NOT_DONE || decision.commands().isEmpty()) {
				reply = new FleetReply.NotLeading(this.log.leader());
			}
			else {
				reply = new FleetReply.OutcomeUnknown();
			}
			taken.get(place).reply().complete(reply);
		}
	}

	@Override
	public void close() {
		this.closed = true;
		this.thread.interrupt();
	}

	private enum Outcome {

		COMMITTED, NOT_DONE, UNKNOWN

	}

	private static final class LeaderTerm {

		private final long term;

		private final FleetScheduler leader;

		private long sequence;

		private LeaderTerm(long term, FleetScheduler leader, long sequence) {
			this.term = term;
			this.leader = leader;
			this.sequence = sequence;
		}

	}

	private record WaitingCall(FleetCall call, long arrivedNanos, CompletableFuture<FleetReply> reply) {

	}

}
