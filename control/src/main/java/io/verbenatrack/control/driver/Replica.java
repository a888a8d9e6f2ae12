package io.verbenatrack.control.driver;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.locks.LockSupport;

import com.google.protobuf.ByteString;

import io.verbenatrack.control.Proposal;
import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.control.ReplicaSettings;
import io.verbenatrack.control.ReplicatedLog;
import io.verbenatrack.control.StateMachine;
import io.verbenatrack.control.replica.RecoveredLog;
import io.verbenatrack.control.replica.Refusal;
import io.verbenatrack.control.replica.ReplicaConfiguration;
import io.verbenatrack.control.replica.ReplicaCore;
import io.verbenatrack.control.replica.ReplicaEvent;
import io.verbenatrack.control.storage.Identity;
import io.verbenatrack.control.storage.LogFolder;
import io.verbenatrack.control.storage.SnapshotFolder;
import io.verbenatrack.model.Closer;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.protocol.control.Membership;
import io.verbenatrack.protocol.control.ReplicaMessage;

/**
 * A replica of the log: a thread for its protocol, one for its disk and one for its state
 * machine.
 */
public final class Replica implements ReplicatedLog {

	private static final Duration HAND_OVER = Duration.ofSeconds(1);

	private static final long HAND_OVER_POLL_NANOS = Duration.ofMillis(5).toNanos();

	private final Closer closer;

	private final Promises promises = new Promises();

	private final Rings rings;

	private final MonotonicClock clock;

	private final ReplicaId self;

	private final ProtocolDuty protocol;

	private final ApplyDuty applying;

	private volatile boolean halted;

	private Replica(ReplicaSettings settings, StateMachine machine, ReplicaTransport transport,
			ReplicaListener listener, MonotonicClock clock, Closer closer) throws IOException {
		this.closer = closer;
		this.clock = clock;
		this.rings = new Rings(settings.limits().pendingEvents());
		Identity identity = this.closer.register(Identity.open(settings.dataFolder(), settings.self().instance()));
		this.self = identity.replica();
		SnapshotFolder snapshots = new SnapshotFolder(settings.dataFolder());
		LogFolder.Opened opened = LogFolder.open(settings.dataFolder(), snapshots.latest());
		DiskDuty disk = this.closer.register(new DiskDuty(settings.dataFolder(), snapshots, opened.log(),
				settings.limits().chunkBytes(), settings.groupCommit(), this.rings.disk(), this.rings::finished));
		this.applying = new ApplyDuty(machine, snapshots, settings.limits().entriesBetweenSnapshots(), this.promises,
				this.rings.apply(), this.rings::finished);
		this.protocol = new ProtocolDuty((recovered) -> start(settings, recovered), opened.recovered(), clock,
				this.closer.register(transport), listener, this.promises, this.rings, settings.groupCommit());
		startThreads(disk);
	}

	/**
	 * Starts a replica with the files of its data folder.
	 * @param settings its settings
	 * @param machine what it drives
	 * @param transport how it reaches the other replicas
	 * @param listener hears what operators want to know
	 * @param clock the monotonic clock
	 * @return the replica
	 * @throws IOException when the data folder cannot be used; the message names the
	 * remedy
	 */
	public static Replica start(ReplicaSettings settings, StateMachine machine, ReplicaTransport transport,
			ReplicaListener listener, MonotonicClock clock) throws IOException {
		Closer closer = new Closer();
		try {
			return new Replica(settings, machine, transport, listener, clock, closer);
		}
		catch (IOException ex) {
			closer.close();
			throw ex;
		}
	}

	private ReplicaCore start(ReplicaSettings settings, RecoveredLog recovered) {
		ReplicaConfiguration configuration = new ReplicaConfiguration(settings.clusterName(),
				settings.self().member(this.self.incarnation()),
				settings.replicas().stream().map((peer) -> peer.member("")).toList(), settings.timings(),
				settings.limits(), settings.membership());
		long seed = ThreadLocalRandom.current().nextLong();
		return new ReplicaCore(configuration, recovered, new SplittableRandom(seed), this.clock.nanoTime());
	}

	private void startThreads(DiskDuty disk) {
		DutyThread applyThread = this.closer.register(new DutyThread("replica-apply", this.applying, this::halt));
		DutyThread diskThread = this.closer.register(new DutyThread("replica-disk", disk, this::halt));
		DutyThread protocolThread = this.closer.register(new DutyThread("replica-protocol", this.protocol, this::halt));
		this.rings.wakers(protocolThread::wake, diskThread::wake, applyThread::wake);
		applyThread.start();
		diskThread.start();
		protocolThread.start();
	}

	private void halt(RuntimeException failure) {
		this.halted = true;
		this.promises.abandon();
		Thread thread = Thread.currentThread();
		thread.getUncaughtExceptionHandler().uncaughtException(thread, failure);
	}

	@Override
	public CompletableFuture<Proposal> propose(byte[] command) {
		CompletableFuture<Proposal> future = new CompletableFuture<>();
		long token = this.promises.proposal(future);
		post(token, new ReplicaEvent.Proposed(token, ByteString.copyFrom(command)));
		return future;
	}

	/**
	 * Proposes a membership that differs from the present one by one replica.
	 * @param membership the membership after the change
	 * @return how it ended
	 */
	public CompletableFuture<Proposal> changeMembership(Membership membership) {
		CompletableFuture<Proposal> future = new CompletableFuture<>();
		long token = this.promises.proposal(future);
		post(token, new ReplicaEvent.MembershipProposed(token, membership));
		return future;
	}

	@Override
	public CompletableFuture<Optional<Long>> confirmLeadership() {
		CompletableFuture<Optional<Long>> future = new CompletableFuture<>();
		long token = this.promises.confirmation(future);
		post(token, new ReplicaEvent.ConfirmationAsked(token));
		return future;
	}

	private void post(long token, ReplicaEvent event) {
		if (this.halted) {
			this.promises.complete(token, new Proposal.NotLeader(Optional.empty()));
			return;
		}
		if (!this.rings.post(new ProtocolTask.Handle(event))) {
			this.promises.complete(token, new Proposal.Refused(
					new Problem(ProblemKind.OVERLOADED, Refusal.QUEUE_FULL.message(), Refusal.QUEUE_FULL.remedy())));
		}
	}

	/**
	 * Takes a message of another replica; drops it when too many wait.
	 * @param message the message
	 */
	public void receive(ReplicaMessage message) {
		this.rings.post(new ProtocolTask.Handle(new ReplicaEvent.Received(message)));
	}

	@Override
	public Optional<InstanceId> leader() {
		return status().leader();
	}

	@Override
	public boolean leads() {
		ReplicaStatus present = status();
		return !this.halted && present.leading() && this.clock.nanoTime() - present.leaseEndNanos() < 0
				&& this.applying.appliedIndex() >= present.openingIndex();
	}

	@Override
	public long term() {
		return status().term();
	}

	/**
	 * What this replica says of itself.
	 * @return its status
	 */
	public ReplicaStatus status() {
		return this.protocol.status();
	}

	/**
	 * How far the state machine has come.
	 * @return the index of the last entry applied
	 */
	public long appliedIndex() {
		return this.applying.appliedIndex();
	}

	/**
	 * Its name.
	 * @return the replica
	 */
	public ReplicaId self() {
		return this.self;
	}

	/**
	 * Hands leadership over if this replica leads, and stops.
	 */
	@Override
	public void close() {
		handOver();
		this.halted = true;
		this.closer.close();
		this.promises.abandon();
	}

	private void handOver() {
		if (this.halted || status().membership().getVotersCount() < 2) {
			return;
		}
		this.rings.post(new ProtocolTask.Handle(new ReplicaEvent.HandOverAsked()));
		long deadline = this.clock.nanoTime() + HAND_OVER.toNanos();
		while (status().role().leading() && this.clock.nanoTime() - deadline < 0) {
			LockSupport.parkNanos(HAND_OVER_POLL_NANOS);
		}
	}

}
