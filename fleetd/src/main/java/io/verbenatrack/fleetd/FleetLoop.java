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
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Timer;

import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.control.ReplicaLimits;
import io.verbenatrack.control.ReplicatedLog;
import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.fleet.policy.EvacuationSettings;
import io.verbenatrack.fleet.policy.FleetScheduler;
import io.verbenatrack.fleet.policy.FleetTimings;
import io.verbenatrack.fleet.policy.JobAdmission;
import io.verbenatrack.fleet.state.FleetBatch;
import io.verbenatrack.fleet.state.FleetCodec;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.model.GrantedTime;
import io.verbenatrack.model.HeldTime;
import io.verbenatrack.model.LeaseClock;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.telemetry.EventLog;
import io.verbenatrack.telemetry.LogEvent;
import io.verbenatrack.telemetry.MetricName;
import io.verbenatrack.telemetry.Metrics;

/**
 * The event loop that makes the decisions of the leader while this replica leads. It runs
 * in turns on its own thread.
 *
 * <p>
 * A turn takes the queued calls, commits their changes, places the pending tasks based on
 * the resulting state, commits the starts of runs, and then replies. It replies from its
 * state only while the leader lease is valid, so that no reply is older than the reply of
 * another leader.
 */
public final class FleetLoop implements FleetClient, AutoCloseable {

	/** The maximum number of queued calls; further calls are refused. */
	private static final int MAX_QUEUED_CALLS = 4096;

	/**
	 * The maximum number of calls in one turn, so that a burst does not delay the replies
	 * to its first calls.
	 */
	private static final int MAX_CALLS_PER_TURN = 256;

	/**
	 * The maximum wait for a call before a turn, so that timers are checked without
	 * calls.
	 */
	private static final Duration IDLE_TURN_INTERVAL = Duration.ofMillis(40);

	/** The retry delay that is recommended when the queue of calls is full. */
	private static final long OVERLOAD_RETRY_MILLIS = 500;

	/** The retry delay that is recommended after a call that failed by itself. */
	private static final long FAILED_CALL_RETRY_MILLIS = 2000;

	/**
	 * The interval at which a turn that waits for a commit checks whether this replica
	 * still leads.
	 */
	private static final Duration LEADERSHIP_CHECK_INTERVAL = Duration.ofMillis(300);

	/** The log refuses a larger batch. */
	private static final int MAX_BATCH_BYTES = ReplicaLimits.DEFAULT.commandBytes();

	/** Longer than a disk hangs that recovers. */
	private static final Duration MAX_COMMIT_WAIT = Duration.ofSeconds(10);

	private final BlockingQueue<WaitingCall> calls = new ArrayBlockingQueue<>(MAX_QUEUED_CALLS);

	private final ReplicatedLog log;

	private final FleetStateMachine stateMachine;

	private final FleetCodec codec;

	private final FleetTimings timings;

	private final JobAdmission admission;

	private final LeaseClock clock;

	private final InstantSource wallClock;

	private final EventLog events;

	private final Metrics metrics;

	private final Timer turnTimer;

	private final EvacuationGauge evacuationGauge;

	private final EventMetrics eventMetrics;

	private final Map<Class<?>, Counter> decisionCounters = new HashMap<>();

	private final Thread thread;

	private volatile boolean closed;

	private volatile boolean ended;

	private volatile EvacuationSettings evacuationSettings = EvacuationSettings.DEFAULT;

	private Optional<LeaderTerm> currentTerm = Optional.empty();

	/**
	 * Creates the loop without starting its thread; see {@link #start}.
	 * @param log the replicated log
	 * @param stateMachine the state machine to which the log is applied
	 * @param codec encodes batches
	 * @param timings the timing parameters of the leader
	 * @param admission decides whether there is memory for another job
	 * @param clock the clock for the leases of workers and for timeouts
	 * @param wallClock the wall clock, used for scheduled times
	 * @param events the event log, which receives the decisions
	 * @param metrics the metrics registry, which counts decisions and times turns
	 */
	public FleetLoop(ReplicatedLog log, FleetStateMachine stateMachine, FleetCodec codec, FleetTimings timings,
			JobAdmission admission, LeaseClock clock, InstantSource wallClock, EventLog events, Metrics metrics) {
		this.log = log;
		this.stateMachine = stateMachine;
		this.codec = codec;
		this.timings = timings;
		this.admission = admission;
		this.clock = clock;
		this.wallClock = wallClock;
		this.events = events;
		this.metrics = metrics;
		this.turnTimer = metrics.histogram(MetricName.FLEET_TURN_TIME);
		this.evacuationGauge = new EvacuationGauge(metrics);
		this.eventMetrics = new EventMetrics(metrics);
		this.thread = Thread.ofPlatform().name("fleet").daemon().unstarted(this::run);
	}

	/**
	 * Sets the settings that concern evacuations.
	 * @param settings the settings
	 */
	public void useEvacuationSettings(EvacuationSettings settings) {
		this.evacuationSettings = settings;
	}

	/**
	 * Starts the thread.
	 */
	public void start() {
		this.thread.start();
	}

	@Override
	public CompletableFuture<FleetReply> call(FleetCall call, Duration timeout) {
		CompletableFuture<FleetReply> reply = new CompletableFuture<>();
		if (this.ended || !this.log.leads()) {
			reply.complete(new FleetReply.NotLeading(this.log.leader()));
		}
		else if (!this.calls.offer(new WaitingCall(call, this.clock.granted(), reply))) {
			reply.complete(new FleetReply.Refused(
					new Problem(ProblemKind.OVERLOADED, "Too many calls wait for the leader.", "Come back later."),
					OVERLOAD_RETRY_MILLIS));
		}
		if (this.ended) {
			refuseQueuedCalls();
		}
		return reply;
	}

	private void refuseQueuedCalls() {
		List<WaitingCall> queued = new ArrayList<>();
		this.calls.drainTo(queued);
		queued.forEach((call) -> call.reply().complete(new FleetReply.NotLeading(this.log.leader())));
	}

	private void run() {
		try {
			runTurns();
		}
		finally {
			this.ended = true;
			refuseQueuedCalls();
		}
	}

	private void runTurns() {
		while (!this.closed) {
			List<WaitingCall> batch = new ArrayList<>();
			try {
				WaitingCall first = this.calls.poll(IDLE_TURN_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
				if (first != null) {
					batch.add(first);
					this.calls.drainTo(batch, MAX_CALLS_PER_TURN - 1);
				}
				GrantedTime started = this.clock.granted();
				runTurn(batch);
				this.turnTimer.record(this.clock.granted().nanosSince(started), TimeUnit.NANOSECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
			catch (RuntimeException ex) {
				this.events.write(LogEvent.THREAD_FAILED, new EventLog.Field("thread", "fleet"),
						new EventLog.Field("problem", ex), EventLog.Field.at(ex));
				this.currentTerm = Optional.empty();
				batch.forEach((call) -> call.reply().complete(new FleetReply.OutcomeUnknown()));
			}
			catch (Error ex) {
				batch.forEach((call) -> call.reply().complete(new FleetReply.OutcomeUnknown()));
				throw ex;
			}
		}
	}

	private void runTurn(List<WaitingCall> batch) {
		this.evacuationGauge.update(this.stateMachine, this.evacuationSettings);
		if (!this.log.leads()) {
			endTerm();
			batch.forEach((call) -> call.reply().complete(new FleetReply.NotLeading(this.log.leader())));
			return;
		}
		LeaderTerm leaderTerm = beginTerm();
		List<CallDecision> decisions = new ArrayList<>();
		List<FleetCommand> lostRuns = decideCalls(leaderTerm, batch, decisions);
		ProposalOutcome callsOutcome = commitCalls(leaderTerm, decisions, lostRuns);
		boolean turnCommitted = committed(callsOutcome) && committed(placeTasks(leaderTerm));
		leaderTerm.scheduler.drainEvents().forEach((event) -> {
			DecisionLogger.write(this.events, leaderTerm.term, event);
			this.eventMetrics.count(event);
		});
		answer(batch, decisions, callsOutcome, turnCommitted);
		if (!turnCommitted) {
			endTerm();
		}
	}

	private LeaderTerm beginTerm() {
		long term = this.log.term();
		if (this.currentTerm.isEmpty() || this.currentTerm.get().term != term) {
			FleetScheduler scheduler = this.stateMachine
				.read((state) -> new FleetScheduler(state, this.timings, term, this.clock.granted()));
			long sequence = this.stateMachine.read((state) -> state.lastSequence(term));
			this.currentTerm = Optional.of(new LeaderTerm(term, scheduler, sequence));
			this.events.write(LogEvent.FLEET_LEADER_BEGAN, new EventLog.Field("term", term));
		}
		return this.currentTerm.get();
	}

	private void endTerm() {
		if (this.currentTerm.isPresent()) {
			this.events.write(LogEvent.FLEET_LEADER_ENDED, new EventLog.Field("term", this.currentTerm.get().term));
			this.currentTerm = Optional.empty();
		}
	}

	private List<FleetCommand> decideCalls(LeaderTerm leaderTerm, List<WaitingCall> batch,
			List<CallDecision> decisions) {
		return this.stateMachine.read((state) -> {
			EvacuationDecider evacuations = new EvacuationDecider(leaderTerm.scheduler.evacuationOrders(),
					this.evacuationSettings, this.clock.granted());
			CallDecider rules = new CallDecider(leaderTerm.scheduler, state, this.admission, evacuations,
					this.wallClock.millis());
			batch.forEach((call) -> decisions.add(decide(rules, call)));
			List<FleetCommand> commands = new ArrayList<>(leaderTerm.scheduler.detectLostRuns(this.clock.granted()));
			leaderTerm.scheduler.forgetJobs(this.clock.granted()).ifPresent(commands::add);
			leaderTerm.scheduler.forgetCancellations(this.clock.granted()).ifPresent(commands::add);
			leaderTerm.scheduler.recordRunTimes(this.clock.granted()).ifPresent(commands::add);
			return commands;
		});
	}

	private CallDecision decide(CallDecider rules, WaitingCall call) {
		try {
			return rules.decide(call.call(), call.arrived());
		}
		catch (RuntimeException | StackOverflowError ex) {
			logFailedCall(call.call(), ex);
			return CallDecision
				.of(new FleetReply.Refused(
						new Problem(ProblemKind.UNAVAILABLE, "The leader failed to decide on the call.",
								"Report it with the FLEET_CALL_FAILED event of the leader."),
						FAILED_CALL_RETRY_MILLIS));
		}
	}

	private void logFailedCall(FleetCall call, Throwable failure) {
		this.events.write(LogEvent.FLEET_CALL_FAILED, new EventLog.Field("call", call.getClass().getSimpleName()),
				new EventLog.Field("problem", failure), EventLog.Field.at(failure));
	}

	private ProposalOutcome commitCalls(LeaderTerm leaderTerm, List<CallDecision> decisions,
			List<FleetCommand> lostRuns) {
		List<FleetCommand> commands = new ArrayList<>();
		decisions.forEach((decision) -> commands.addAll(decision.commands()));
		commands.addAll(lostRuns);
		return commitTogether(leaderTerm, commands).filter((outcome) -> !(outcome instanceof ProposalOutcome.Refused))
			.orElseGet(() -> commitSeparately(leaderTerm, decisions, lostRuns));
	}

	// Only the calls that cannot be stored are refused. An unknown outcome covers the
	// calls that are already committed when another one fails.
	private ProposalOutcome commitSeparately(LeaderTerm leaderTerm, List<CallDecision> decisions,
			List<FleetCommand> lostRuns) {
		for (int index = 0; index < decisions.size(); index++) {
			switch (commit(leaderTerm, decisions.get(index).commands())) {
				case ProposalOutcome.Committed committed -> {
				}
				case ProposalOutcome.Refused refused ->
					decisions.set(index, CallDecision.of(refusal(refused.problem())));
				case ProposalOutcome.NotLeader notLeader -> {
					return new ProposalOutcome.Unknown();
				}
				case ProposalOutcome.Unknown unknown -> {
					return unknown;
				}
			}
		}
		return committed(commit(leaderTerm, lostRuns)) ? new ProposalOutcome.Committed(0, new byte[0])
				: new ProposalOutcome.Unknown();
	}

	private static FleetReply refusal(Problem problem) {
		return (problem.kind() == ProblemKind.TOO_LARGE) ? new FleetReply.Invalid(problem)
				: new FleetReply.Refused(problem, OVERLOAD_RETRY_MILLIS);
	}

	private ProposalOutcome placeTasks(LeaderTerm leaderTerm) {
		return commit(leaderTerm, this.stateMachine
			.read((state) -> leaderTerm.scheduler.placeTasks(this.clock.granted(), this.wallClock.millis())));
	}

	private static boolean committed(ProposalOutcome outcome) {
		return outcome instanceof ProposalOutcome.Committed;
	}

	private ProposalOutcome commit(LeaderTerm leaderTerm, List<FleetCommand> commands) {
		return commitTogether(leaderTerm, commands).orElseGet(() -> commitHalves(leaderTerm, commands));
	}

	private ProposalOutcome commitHalves(LeaderTerm leaderTerm, List<FleetCommand> commands) {
		int middle = commands.size() / 2;
		ProposalOutcome first = commit(leaderTerm, commands.subList(0, middle));
		if (!committed(first)) {
			return first;
		}
		ProposalOutcome second = commit(leaderTerm, commands.subList(middle, commands.size()));
		// The first half has taken effect.
		return (second instanceof ProposalOutcome.NotLeader) ? new ProposalOutcome.Unknown() : second;
	}

	// Returns empty, and commits nothing, if several commands are too large for a batch.
	private Optional<ProposalOutcome> commitTogether(LeaderTerm leaderTerm, List<FleetCommand> commands) {
		if (commands.isEmpty()) {
			return Optional.of(new ProposalOutcome.Committed(0, new byte[0]));
		}
		byte[] batch = this.codec.encode(new FleetBatch(leaderTerm.term, leaderTerm.sequence + 1, commands));
		if (batch.length > MAX_BATCH_BYTES && commands.size() > 1) {
			return Optional.empty();
		}
		return Optional.of(propose(leaderTerm, commands, batch));
	}

	private ProposalOutcome propose(LeaderTerm leaderTerm, List<FleetCommand> commands, byte[] batch) {
		ProposalOutcome outcome = await(this.log.propose(batch), leaderTerm.term);
		if (outcome instanceof ProposalOutcome.Committed applied && !FleetStateMachine.applied(applied.result())) {
			outcome = new ProposalOutcome.NotLeader(this.log.leader());
		}
		if (committed(outcome)) {
			leaderTerm.sequence++;
			for (FleetCommand command : commands) {
				DecisionLogger.write(this.events, leaderTerm.term, command);
				this.decisionCounters
					.computeIfAbsent(command.getClass(),
							(kind) -> this.metrics.counter(MetricName.FLEET_DECISIONS, kind.getSimpleName()))
					.increment();
			}
		}
		else {
			this.events.write(LogEvent.FLEET_COMMIT_FAILED, new EventLog.Field("term", leaderTerm.term),
					new EventLog.Field("commands", commands.size()),
					new EventLog.Field("outcome", outcome.getClass().getSimpleName()));
		}
		return outcome;
	}

	// A proposal that is still open when this replica no longer leads may never be
	// completed, and the queued calls wait meanwhile.
	private ProposalOutcome await(CompletableFuture<ProposalOutcome> proposal, long term) {
		HeldTime latest = this.clock.held().plus(MAX_COMMIT_WAIT);
		while (true) {
			try {
				return proposal.get(LEADERSHIP_CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
			}
			catch (TimeoutException ex) {
				boolean leading = this.log.leads() && this.log.term() == term;
				if (!leading || latest.isBefore(this.clock.held())) {
					return new ProposalOutcome.Unknown();
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return new ProposalOutcome.Unknown();
			}
			catch (ExecutionException ex) {
				throw new IllegalStateException("A proposal failed.", ex);
			}
		}
	}

	// A call whose commands may have been committed never gets a reply that it had no
	// effect, even if a later commit of the same turn failed.
	private void answer(List<WaitingCall> batch, List<CallDecision> decisions, ProposalOutcome callsOutcome,
			boolean turnCommitted) {
		for (int index = 0; index < batch.size(); index++) {
			CallDecision decision = decisions.get(index);
			boolean confirmed = turnCommitted && this.log.leads();
			FleetReply reply;
			if (confirmed) {
				reply = reply(batch.get(index).call(), decision);
			}
			else if (callsOutcome instanceof ProposalOutcome.NotLeader || decision.commands().isEmpty()) {
				reply = new FleetReply.NotLeading(this.log.leader());
			}
			else {
				reply = new FleetReply.OutcomeUnknown();
			}
			batch.get(index).reply().complete(reply);
		}
	}

	private FleetReply reply(FleetCall call, CallDecision decision) {
		try {
			return this.stateMachine.read((state) -> decision.reply().get());
		}
		catch (RuntimeException | StackOverflowError ex) {
			logFailedCall(call, ex);
			return new FleetReply.OutcomeUnknown();
		}
	}

	@Override
	public void close() {
		this.closed = true;
		this.thread.interrupt();
	}

	private static final class LeaderTerm {

		private final long term;

		private final FleetScheduler scheduler;

		private long sequence;

		private LeaderTerm(long term, FleetScheduler scheduler, long sequence) {
			this.term = term;
			this.scheduler = scheduler;
			this.sequence = sequence;
		}

	}

	private record WaitingCall(FleetCall call, GrantedTime arrived, CompletableFuture<FleetReply> reply) {

	}

}
