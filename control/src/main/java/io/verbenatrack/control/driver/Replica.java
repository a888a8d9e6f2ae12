package io.verbenatrack.control.driver;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.locks.LockSupport;

import com.google.protobuf.ByteString;

import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.control.ReplicaPeer;
import io.verbenatrack.control.ReplicaSettings;
import io.verbenatrack.control.ReplicatedLog;
import io.verbenatrack.control.StateMachine;
import io.verbenatrack.control.replica.RecoveredLog;
import io.verbenatrack.control.replica.Refusal;
import io.verbenatrack.control.replica.ReplicaConfiguration;
import io.verbenatrack.control.replica.ReplicaCore;
import io.verbenatrack.control.replica.ReplicaEvent;
import io.verbenatrack.control.storage.FirstStart;
import io.verbenatrack.control.storage.LogFolder;
import io.verbenatrack.control.storage.ReplicaIdentity;
import io.verbenatrack.control.storage.SnapshotFolder;
import io.verbenatrack.model.Closer;
import io.verbenatrack.model.HeldTime;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.LeaseClock;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.protocol.control.Membership;
import io.verbenatrack.protocol.control.ReplicaMember;
import io.verbenatrack.protocol.control.ReplicaMessage;

/**
 * A replica of the log. It runs one thread each for the protocol, the disk and the state
 * machine.
 */
public final class Replica implements ReplicatedLog {

	private static final Duration HAND_OVER_TIMEOUT = Duration.ofSeconds(1);

	private static final long HAND_OVER_POLL_INTERVAL_NANOS = Duration.ofMillis(5).toNanos();

	private static final long SEEDS_RETRY_INTERVAL_NANOS = Duration.ofMillis(5).toNanos();

	private final Closer closer;

	private final PendingRequests pendingRequests = new PendingRequests();

	private final ReplicaQueues queues;

	private final LeaseClock clock;

	private final ReplicaId self;

	private final boolean namedAtFirstStart;

	private final ProtocolDuty protocolDuty;

	private final ApplyDuty applyDuty;

	private volatile List<DutyThread> threads = List.of();

	private volatile List<ReplicaMember> seeds = List.of();

	private volatile boolean halted;

	private Replica(ReplicaSettings settings, StateMachine stateMachine, ReplicaTransport transport,
			ReplicaListener listener, LeaseClock clock, Closer closer) throws IOException {
		this.closer = closer;
		this.clock = clock;
		this.queues = new ReplicaQueues(settings.limits());
		ReplicaIdentity identity = this.closer
			.register(ReplicaIdentity.open(settings.dataFolder(), settings.self().instance()));
		this.self = identity.replica();
		this.namedAtFirstStart = FirstStart.named(settings.dataFolder(),
				settings.replicas().stream().map(ReplicaPeer::instance).anyMatch(settings.self().instance()::equals));
		SnapshotFolder snapshots = new SnapshotFolder(settings.dataFolder());
		LogFolder.Opened openedLog = LogFolder.open(settings.dataFolder(), snapshots.latest());
		DiskDuty diskDuty = this.closer.register(new DiskDuty(settings.dataFolder(), snapshots, openedLog.log(),
				settings.limits().chunkBytes(), settings.groupCommit(), this.queues.disk(), this.queues::complete));
		this.applyDuty = new ApplyDuty(stateMachine, snapshots, settings.limits().log(), this.pendingRequests,
				this.queues.apply(), this.queues::complete);
		this.protocolDuty = new ProtocolDuty((recovered) -> createCore(settings, recovered), openedLog.recovered(),
				clock, this.closer.register(transport), listener, this.pendingRequests, this.queues,
				settings.groupCommit());
		startThreads(diskDuty);
	}

	/**
	 * Starts a replica from the files of its data folder.
	 * @param settings its settings
	 * @param stateMachine the state machine to which commands are applied
	 * @param transport the transport to the other replicas
	 * @param listener receives notices for operators
	 * @param clock the clock for the leader lease
	 * @return the replica
	 * @throws IOException if the data folder cannot be used; the message includes the
	 * remedy
	 */
	public static Replica start(ReplicaSettings settings, StateMachine stateMachine, ReplicaTransport transport,
			ReplicaListener listener, LeaseClock clock) throws IOException {
		Closer closer = new Closer();
		try {
			return new Replica(settings, stateMachine, transport, listener, clock, closer);
		}
		catch (IOException ex) {
			closer.close();
			throw ex;
		}
	}

	private ReplicaCore createCore(ReplicaSettings settings, RecoveredLog recovered) {
		ReplicaConfiguration configuration = new ReplicaConfiguration(settings.clusterName(),
				settings.self().member(this.self.incarnation()),
				settings.replicas().stream().map((peer) -> peer.member("")).toList(), settings.timings(),
				settings.limits(), settings.membershipPolicy(), this.namedAtFirstStart);
		long seed = ThreadLocalRandom.current().nextLong();
		ReplicaCore core = new ReplicaCore(configuration, recovered, new SplittableRandom(seed), this.clock.read());
		core.handle(this.clock.read(), new ReplicaEvent.SeedsChanged(this.seeds));
		return core;
	}

	private void startThreads(DiskDuty diskDuty) {
		DutyThread applyThread = this.closer.register(new DutyThread("replica-apply", this.applyDuty, this::halt));
		DutyThread diskThread = this.closer.register(new DutyThread("replica-disk", diskDuty, this::halt));
		DutyThread protocolThread = this.closer
			.register(new DutyThread("replica-protocol", this.protocolDuty, this::halt));
		this.queues.setWakers(protocolThread::wake, diskThread::wake, applyThread::wake);
		this.threads = List.of(applyThread, diskThread, protocolThread);
		applyThread.start();
		diskThread.start();
		protocolThread.start();
	}

	// The other threads end too: a leader that only renews its lease would keep the other
	// replicas from electing another one.
	private void halt(Throwable failure) {
		this.halted = true;
		this.threads.forEach(DutyThread::stop);
		this.pendingRequests.completeAllAsUnknown();
		Thread thread = Thread.currentThread();
		thread.getUncaughtExceptionHandler().uncaughtException(thread, failure);
	}

	@Override
	public CompletableFuture<ProposalOutcome> propose(byte[] command) {
		CompletableFuture<ProposalOutcome> future = new CompletableFuture<>();
		long token = this.pendingRequests.addProposal(future);
		post(token, new ReplicaEvent.Proposed(token, ByteString.copyFrom(command)));
		return future;
	}

	/**
	 * Proposes a membership that differs from the current one by one replica.
	 * @param membership the membership after the change
	 * @return the outcome; the future never completes exceptionally
	 */
	public CompletableFuture<ProposalOutcome> changeMembership(Membership membership) {
		CompletableFuture<ProposalOutcome> future = new CompletableFuture<>();
		long token = this.pendingRequests.addProposal(future);
		post(token, new ReplicaEvent.MembershipProposed(token, membership));
		return future;
	}

	@Override
	public CompletableFuture<Optional<Long>> confirmLeadership() {
		CompletableFuture<Optional<Long>> future = new CompletableFuture<>();
		long token = this.pendingRequests.addConfirmation(future);
		post(token, new ReplicaEvent.ConfirmationRequested(token));
		return future;
	}

	private void post(long token, ReplicaEvent event) {
		if (this.halted) {
			this.pendingRequests.complete(token, new ProposalOutcome.NotLeader(Optional.empty()));
			return;
		}
		if (!this.queues.post(new ProtocolTask.Handle(event))) {
			this.pendingRequests.complete(token, new ProposalOutcome.Refused(
					new Problem(ProblemKind.OVERLOADED, Refusal.QUEUE_FULL.message(), Refusal.QUEUE_FULL.remedy())));
		}
	}

	/**
	 * Receives a message from another replica. The message is dropped if the event queue
	 * is full.
	 * @param message the message
	 */
	public void receive(ReplicaMessage message) {
		this.queues.post(new ProtocolTask.Handle(new ReplicaEvent.Received(message)));
	}

	/**
	 * Sets the instances that the settings name now, which this replica asks to join a
	 * cluster if no leader contacts it. They do not change which instances form one.
	 * @param changed the instances
	 */
	public void useSeeds(List<ReplicaPeer> changed) {
		this.seeds = changed.stream().map((peer) -> peer.member("")).toList();
		ReplicaEvent event = new ReplicaEvent.SeedsChanged(this.seeds);
		while (!this.halted && !this.queues.post(new ProtocolTask.Handle(event))) {
			LockSupport.parkNanos(SEEDS_RETRY_INTERVAL_NANOS);
		}
	}

	@Override
	public Optional<InstanceId> leader() {
		return status().leader();
	}

	@Override
	public boolean leads() {
		ReplicaStatus current = status();
		return !this.halted && current.leading() && this.clock.held().isBefore(current.leaseEnd())
				&& this.applyDuty.appliedIndex() >= current.termStartIndex();
	}

	@Override
	public long term() {
		return status().term();
	}

	/**
	 * Returns the status as of the latest processed event.
	 * @return the status
	 */
	public ReplicaStatus status() {
		return this.protocolDuty.status();
	}

	/**
	 * Returns the progress of the state machine.
	 * @return the index of the last applied entry
	 */
	public long appliedIndex() {
		return this.applyDuty.appliedIndex();
	}

	/**
	 * Returns whether a thread of this replica failed or the replica was closed.
	 * @return whether it takes no further part in the cluster
	 */
	public boolean halted() {
		return this.halted;
	}

	/**
	 * Returns the identifier of this replica.
	 * @return the identifier
	 */
	public ReplicaId self() {
		return this.self;
	}

	/**
	 * Hands over leadership if this replica is the leader, and stops.
	 */
	@Override
	public void close() {
		handOverLeadership();
		this.halted = true;
		this.closer.close();
		this.pendingRequests.completeAllAsUnknown();
	}

	private void handOverLeadership() {
		if (this.halted || status().membership().getVotersCount() < 2) {
			return;
		}
		this.queues.post(new ProtocolTask.Handle(new ReplicaEvent.HandOverRequested()));
		HeldTime deadline = this.clock.held().plus(HAND_OVER_TIMEOUT);
		while (status().role().leading() && this.clock.held().isBefore(deadline)) {
			LockSupport.parkNanos(HAND_OVER_POLL_INTERVAL_NANOS);
		}
	}

}
