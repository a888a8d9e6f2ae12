package io.verbenatrack.server.leader;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.control.ReplicatedLog;
import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.GrantedTime;
import io.verbenatrack.model.LeaseClock;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.server.command.CommandExecutor;
import io.verbenatrack.server.command.CommandProblems;
import io.verbenatrack.server.command.EntryCommand;
import io.verbenatrack.server.command.EntryReply;
import io.verbenatrack.server.log.CommandKind;
import io.verbenatrack.server.log.DecisionBatch;
import io.verbenatrack.server.log.JobsState;
import io.verbenatrack.state.RecordCodec;

/**
 * The duty cycle of the scheduling thread, which decides on jobs while this replica
 * leads.
 *
 * <p>
 * Commands wait in a bounded queue. Each iteration decides on a batch of them, proposes
 * the decisions as one log entry, and replies to callers and calls workers only after
 * that entry is committed. Entries commit in order, so a reply that waits for the newest
 * entry reflects every earlier decision.
 */
public final class LeaderDuty implements CommandExecutor, AutoCloseable {

	/** The interval between two checks of leases and deadlines. */
	static final Duration TICK_INTERVAL = Duration.ofMillis(50);

	private static final int MAXIMUM_COMMANDS_PER_BATCH = 512;

	private static final int MAXIMUM_BATCHES_IN_FLIGHT = 64;

	private static final Duration WORKER_LEASE_MARGIN = Duration.ofSeconds(2);

	private static final Duration DELAY_AFTER_FAILURE = Duration.ofMillis(200);

	private final ReplicatedLog log;

	private final JobsState jobs;

	private final RecordCodec codec;

	private final MemberDispatcher dispatcher;

	private final GangActions actions = new GangActions();

	private final WorkerLeases leases;

	private final InstantSource wallClock;

	private final LeaseClock clock;

	private final LeaderLimits limits;

	private final Supplier<Declarations> acceptedDeclarations;

	private final SchedulingListener listener;

	private final Queue<QueuedCommand> commandQueue;

	private final Queue<CompletedProposal> completedProposals = new ArrayBlockingQueue<>(2 * MAXIMUM_BATCHES_IN_FLIGHT);

	private final Thread thread;

	private SchedulingSession session;

	private CompletableFuture<Optional<Long>> leadershipConfirmation;

	private long sessionTerm;

	private long sequence;

	private PendingBatch openBatch = new PendingBatch();

	private PendingBatch newestBatchInFlight;

	private int batchesInFlight;

	private GrantedTime nextTick;

	private volatile boolean stopped;

	/**
	 * Creates the duty without starting its thread, see {@link #start}.
	 * @param log the control log
	 * @param jobs the committed state that the log drives
	 * @param codec encodes decision batches
	 * @param workers calls workers
	 * @param timer schedules retries of calls to workers
	 * @param wallClock provides the time of decisions
	 * @param clock measures worker leases
	 * @param limits the limits on queue, workers, jobs and leases
	 * @param acceptedDeclarations returns the declarations that a quorum has accepted
	 * @param listener receives the committed decisions and the failures
	 */
	public LeaderDuty(ReplicatedLog log, JobsState jobs, RecordCodec codec, WorkerPort workers,
			ScheduledExecutorService timer, InstantSource wallClock, LeaseClock clock, LeaderLimits limits,
			Supplier<Declarations> acceptedDeclarations, SchedulingListener listener) {
		this.listener = listener;
		this.log = log;
		this.acceptedDeclarations = acceptedDeclarations;
		this.jobs = jobs;
		this.codec = codec;
		this.wallClock = wallClock;
		this.clock = clock;
		this.nextTick = clock.granted();
		this.limits = limits;
		this.leases = new WorkerLeases(limits.workerLease(), WORKER_LEASE_MARGIN);
		this.dispatcher = new MemberDispatcher(workers, timer, this.leases::url, this.actions::isCurrent);
		this.commandQueue = new ArrayBlockingQueue<>(limits.ringCapacity());
		this.thread = Thread.ofPlatform().name("scheduling").unstarted(this::run);
	}

	/**
	 * Starts the thread.
	 */
	public void start() {
		this.thread.start();
	}

	@Override
	public CompletableFuture<EntryReply> execute(EntryCommand command) {
		CompletableFuture<EntryReply> reply = new CompletableFuture<>();
		if (this.stopped || !this.commandQueue.offer(new QueuedCommand(command, reply))) {
			reply.complete(new EntryReply.Failed(CommandProblems.overloaded()));
			return reply;
		}
		LockSupport.unpark(this.thread);
		return reply;
	}

	private void run() {
		while (!this.stopped) {
			try {
				runIteration();
			}
			catch (RuntimeException ex) {
				// Discards the decisions of the failed iteration; the next session
				// starts from the committed state.
				this.listener.onFailure(ex);
				endSession();
				LockSupport.parkNanos(this, DELAY_AFTER_FAILURE.toNanos());
			}
		}
		endSession();
		rejectCommands();
	}

	private void runIteration() {
		int handled = handleCompletedProposals();
		observeLeadership();
		handled += handleCommands();
		advanceTime();
		propose();
		if (handled == 0) {
			LockSupport.parkNanos(this, TICK_INTERVAL.toNanos());
		}
	}

	private void observeLeadership() {
		if (this.session != null && (!this.log.leads() || this.log.term() != this.sessionTerm)) {
			endSession();
		}
		if (this.session != null || !this.log.leads() || this.batchesInFlight > 0) {
			return;
		}
		if (this.leadershipConfirmation == null) {
			this.leadershipConfirmation = this.log.confirmLeadership();
			this.leadershipConfirmation.whenComplete((term, failure) -> LockSupport.unpark(this.thread));
		}
		else if (this.leadershipConfirmation.isDone()) {
			Optional<Long> term = this.leadershipConfirmation.join();
			this.leadershipConfirmation = null;
			term.ifPresent(this::beginSession);
		}
	}

	private void beginSession(long term) {
		JobsState.Copy copy = this.jobs.copy();
		this.sessionTerm = term;
		this.sequence = copy.sequence();
		this.openBatch = new PendingBatch();
		this.newestBatchInFlight = null;
		this.session = new SchedulingSession(copy.scheduler(), this.leases, this.limits);
		this.leases.grantAll(this.session.workers(), this.clock.granted());
		this.actions.restore(copy.scheduler().view()).forEach(this.dispatcher::send);
		this.session.adopt(this.acceptedDeclarations.get(), this.wallClock.instant(), this.openBatch);
	}

	private void endSession() {
		if (this.session == null) {
			return;
		}
		this.session = null;
		this.openBatch.failWaiters(new EntryReply.NotLeading(this.log.leader()));
		this.openBatch = new PendingBatch();
	}

	private int handleCommands() {
		if (this.session == null) {
			return rejectCommands();
		}
		int handled = 0;
		while (handled < MAXIMUM_COMMANDS_PER_BATCH && this.batchesInFlight < MAXIMUM_BATCHES_IN_FLIGHT) {
			QueuedCommand queued = this.commandQueue.poll();
			if (queued == null) {
				break;
			}
			this.openBatch.replyAfterCommit(queued.reply, decideOrFail(queued));
			handled++;
		}
		return handled;
	}

	private int rejectCommands() {
		int handled = 0;
		for (QueuedCommand queued = this.commandQueue.poll(); queued != null; queued = this.commandQueue.poll()) {
			queued.reply.complete(new EntryReply.NotLeading(this.log.leader()));
			handled++;
		}
		return handled;
	}

	private EntryReply decideOrFail(QueuedCommand queued) {
		try {
			return decide(queued.command);
		}
		catch (RuntimeException ex) {
			queued.reply.complete(new EntryReply.Failed(CommandProblems.internal(ex)));
			throw ex;
		}
	}

	private EntryReply decide(EntryCommand command) {
		Instant now = this.wallClock.instant();
		return switch (command) {
			case EntryCommand.SubmitJob submit -> this.session.submit(submit.job(), now, this.openBatch);
			case EntryCommand.CancelJob cancel -> this.session.cancel(cancel, now, this.openBatch);
			case EntryCommand.FindJob find -> this.session.find(find);
			case EntryCommand.AnnounceWorker announce ->
				this.session.announce(announce, now, this.clock.granted(), this.openBatch);
			case EntryCommand.DrainWorker drain -> this.session.drain(drain, now, this.openBatch);
			case EntryCommand.ReportMembers report -> this.session.report(report, now, this.openBatch);
			case EntryCommand.AdoptDeclarations adopt -> this.session.adopt(adopt.declarations(), now, this.openBatch);
			case EntryCommand.FetchView fetch -> new EntryReply.View(this.session.view());
			case EntryCommand.Replicated replicated -> throw new IllegalStateException(replicated
					+ " is decided by a state machine, not by the scheduler. Execute it with ReplicatedCommands.");
		};
	}

	private void advanceTime() {
		GrantedTime now = this.clock.granted();
		if (this.session == null || now.isBefore(this.nextTick)) {
			return;
		}
		this.nextTick = now.plus(TICK_INTERVAL);
		this.session.advanceTime(this.wallClock.instant(), now, this.openBatch);
	}

	private void propose() {
		if (this.session == null) {
			return;
		}
		if (this.openBatch.isEmpty()) {
			replyWithoutEntry();
			return;
		}
		if (this.batchesInFlight >= MAXIMUM_BATCHES_IN_FLIGHT) {
			return;
		}
		PendingBatch batch = this.openBatch;
		this.openBatch = new PendingBatch();
		this.newestBatchInFlight = batch;
		this.batchesInFlight++;
		byte[] command = this.codec.encode(new DecisionBatch(++this.sequence, batch.decisions()));
		this.log.propose(CommandKind.DECISIONS.frame(command)).thenAccept((proposal) -> {
			this.completedProposals.add(new CompletedProposal(batch, proposal));
			LockSupport.unpark(this.thread);
		});
	}

	private void replyWithoutEntry() {
		if (this.newestBatchInFlight != null) {
			this.newestBatchInFlight.moveWaitersFrom(this.openBatch);
		}
		else {
			this.openBatch.completeWaiters();
			this.openBatch = new PendingBatch();
		}
	}

	private int handleCompletedProposals() {
		int handled = 0;
		for (CompletedProposal next = this.completedProposals.poll(); next != null; next = this.completedProposals
			.poll()) {
			this.batchesInFlight--;
			handle(next);
			handled++;
		}
		return handled;
	}

	private void handle(CompletedProposal next) {
		if (next.batch == this.newestBatchInFlight) {
			this.newestBatchInFlight = null;
		}
		if (next.proposal instanceof ProposalOutcome.Committed committed && JobsState.isApplied(committed.result())) {
			if (this.session != null) {
				next.batch.decisions().forEach(this::applyDecision);
			}
			next.batch.completeWaiters();
			return;
		}
		next.batch.failWaiters(failureReply(next.proposal));
		endSession();
	}

	private EntryReply failureReply(ProposalOutcome proposal) {
		return switch (proposal) {
			case ProposalOutcome.Unknown unknown -> new EntryReply.Failed(CommandProblems.outcomeUnknown());
			case ProposalOutcome.Refused refused -> new EntryReply.Failed(refused.problem());
			// A batch that was committed but not applied had no effect, as if it had not
			// been logged.
			case ProposalOutcome.NotLeader notLeader -> new EntryReply.NotLeading(notLeader.leader());
			case ProposalOutcome.Committed committed -> new EntryReply.NotLeading(this.log.leader());
		};
	}

	private void applyDecision(SchedulingDecision decision) {
		this.listener.onDecision(decision);
		this.actions.actionsFor(decision).forEach(this.dispatcher::send);
	}

	@Override
	public void close() {
		this.stopped = true;
		LockSupport.unpark(this.thread);
		try {
			this.thread.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private record QueuedCommand(EntryCommand command, CompletableFuture<EntryReply> reply) {

	}

	private record CompletedProposal(PendingBatch batch, ProposalOutcome proposal) {

	}

}
