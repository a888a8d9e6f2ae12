package io.verbenatrack.bench.control;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;

import io.verbenatrack.control.MembershipPolicy;
import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.control.ReplicaPeer;
import io.verbenatrack.control.replica.CommittedEntry;
import io.verbenatrack.control.replica.ReplicaConfiguration;
import io.verbenatrack.control.replica.ReplicaCore;
import io.verbenatrack.control.replica.ReplicaEffect;
import io.verbenatrack.control.replica.ReplicaEvent;
import io.verbenatrack.control.replica.ReplicaRole;
import io.verbenatrack.control.replica.SnapshotSchedule;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.LeaseClock;
import io.verbenatrack.protocol.control.ReplicaMember;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * Replica of a schedule. It runs the production protocol and state machines on a
 * simulated disk, network and clock.
 */
final class SimulatedReplica {

	private static final long SYNC_NANOS = 500_000;

	private static final long SYNC_JITTER_NANOS = 1_500_000;

	private static final long DISK_RETRY_NANOS = 1_000_000_000;

	private static final byte[] NO_RESULT = {};

	private final SimulatedCluster cluster;

	private final ReplicaPeer peer;

	private final SplittableRandom random;

	private final Map<Long, Consumer<ProposalOutcome>> proposals = new TreeMap<>();

	private final Map<Long, Consumer<Optional<Long>>> confirmations = new TreeMap<>();

	private SimulatedDisk disk;

	private ReplicaCore core;

	private SimulatedStateMachine machine;

	private long appliedIndex;

	private SnapshotSchedule snapshotSchedule;

	private long epoch;

	private long tokens;

	private int generation;

	private boolean alive;

	private boolean retired;

	/** The instances that the settings of the process name. */
	private List<ReplicaMember> seeds;

	/** The settings that the process reads when it starts next. */
	private List<ReplicaMember> nextSeeds;

	private boolean mayFormCluster = true;

	private long pausedUntilNanos;

	private int incarnations;

	private int ticks;

	private final SimulatedMachineClocks clocks;

	private final LeaseClock leaseClock;

	SimulatedReplica(SimulatedCluster cluster, ReplicaPeer peer, SplittableRandom random) {
		this.cluster = cluster;
		this.peer = peer;
		this.random = random;
		this.nextSeeds = cluster.founders();
		this.clocks = new SimulatedMachineClocks(cluster.clock()::nowNanos);
		this.leaseClock = random.nextBoolean() ? LeaseClock.exact(this.clocks::bootNanos)
				: LeaseClock.estimated(this.clocks::monotonicNanos, this.clocks::wallClock);
		replaceDisk();
	}

	void replaceDisk() {
		this.incarnations++;
		this.disk = new SimulatedDisk("i" + this.incarnations);
	}

	SimulatedDisk disk() {
		return this.disk;
	}

	ReplicaCore core() {
		return this.core;
	}

	InstanceId instance() {
		return this.peer.instance();
	}

	ReplicaId id() {
		return new ReplicaId(this.peer.instance(), this.disk.incarnation());
	}

	boolean alive() {
		return this.alive;
	}

	/**
	 * Sets the settings that the process reads when it starts next: a running process
	 * ignores changed seeds.
	 * @param members the instances that they name, without incarnations
	 */
	void joinWith(List<ReplicaMember> members) {
		this.nextSeeds = List.copyOf(members);
		this.mayFormCluster = false;
	}

	ReplicaMember address() {
		return this.peer.member("");
	}

	/** Removes the machine for good: it never starts again. */
	void retire() {
		crash();
		this.retired = true;
	}

	boolean retired() {
		return this.retired;
	}

	/**
	 * Returns whether this machine belongs to a cluster.
	 * @return whether it has formed or joined one
	 */
	boolean joined() {
		return this.alive && this.core.role() != ReplicaRole.UNFORMED;
	}

	SimulatedStateMachine machine() {
		return this.machine;
	}

	SimulatedMachineClocks clocks() {
		return this.clocks;
	}

	void start() {
		if (this.retired) {
			return;
		}
		this.alive = true;
		this.seeds = this.nextSeeds;
		this.machine = new SimulatedStateMachine();
		this.appliedIndex = 0;
		this.snapshotSchedule = new SnapshotSchedule(this.cluster.limits().log());
		startCore();
	}

	private void startCore() {
		this.generation++;
		MembershipPolicy policy = this.cluster.membershipPolicy();
		ReplicaConfiguration configuration = new ReplicaConfiguration("sim", this.peer.member(this.disk.incarnation()),
				this.seeds, this.cluster.timings(), this.cluster.limits(),
				new MembershipPolicy(policy.targetVoters(), this.mayFormCluster, policy.replaceAfter()));
		var recovered = this.disk.recover();
		this.core = new ReplicaCore(configuration, recovered, this.random.split(), this.leaseClock.read());
		if (recovered.snapshot().getIndex() > this.appliedIndex) {
			restore(recovered.snapshot());
		}
		handle(new ReplicaEvent.Tick());
	}

	void crash() {
		if (!this.alive) {
			return;
		}
		this.alive = false;
		this.generation++;
		this.pausedUntilNanos = 0;
		this.disk.crash(this.random);
		this.proposals.clear();
		this.confirmations.clear();
	}

	/**
	 * Suspends the machine: nothing runs, and its monotonic clock stops.
	 * @param nanos the time in nanoseconds
	 */
	void suspend(long nanos) {
		long until = this.cluster.clock().nowNanos() + nanos;
		this.clocks.suspendUntil(until);
		this.pausedUntilNanos = Math.max(this.pausedUntilNanos, until);
	}

	/** Ends a suspension or pause early. */
	void wake() {
		this.clocks.wake();
		if (this.alive && paused()) {
			this.pausedUntilNanos = this.cluster.clock().nowNanos();
			handle(new ReplicaEvent.Tick());
		}
	}

	void pause(long nanos) {
		this.pausedUntilNanos = this.cluster.clock().nowNanos() + nanos;
	}

	boolean paused() {
		return this.cluster.clock().nowNanos() < this.pausedUntilNanos;
	}

	/**
	 * Returns whether this replica would act as leader now.
	 * @return whether it is the leader and its lease is valid by its own clock
	 */
	boolean leads() {
		return this.alive && this.core.leads() && this.leaseClock.held().isBefore(this.core.leaseEnd());
	}

	void handle(ReplicaEvent event) {
		if (!this.alive) {
			return;
		}
		long now = this.cluster.clock().nowNanos();
		if (now < this.pausedUntilNanos) {
			schedule(this.pausedUntilNanos - now, () -> handle(event));
			return;
		}
		this.core.handle(this.leaseClock.read(), event);
		this.core.flush().forEach(this::execute);
		applyCommitted();
		this.cluster.monitor().observe(this);
		long wait = this.core.nextTickNanos();
		int tickNumber = ++this.ticks;
		schedule(Math.max(1_000_000, wait), () -> {
			if (tickNumber == this.ticks) {
				handle(new ReplicaEvent.Tick());
			}
		});
	}

	private void schedule(long nanos, Runnable action) {
		int scheduledGeneration = this.generation;
		this.cluster.clock().schedule(nanos, () -> {
			if (this.generation == scheduledGeneration && this.alive) {
				action.run();
			}
		});
	}

	void propose(byte[] command, Consumer<ProposalOutcome> callback) {
		if (!this.alive) {
			return;
		}
		long token = ++this.tokens;
		this.proposals.put(token, callback);
		handle(new ReplicaEvent.Proposed(token, ByteString.copyFrom(command)));
	}

	void confirm(Consumer<Optional<Long>> callback) {
		if (!this.alive) {
			return;
		}
		long token = ++this.tokens;
		this.confirmations.put(token, callback);
		handle(new ReplicaEvent.ConfirmationRequested(token));
	}

	private void complete(long token, ProposalOutcome outcome) {
		Consumer<ProposalOutcome> proposalCallback = this.proposals.remove(token);
		if (proposalCallback != null) {
			proposalCallback.accept(outcome);
		}
		Consumer<Optional<Long>> confirmationCallback = this.confirmations.remove(token);
		if (confirmationCallback != null) {
			confirmationCallback.accept(Optional.empty());
		}
	}

	private void execute(ReplicaEffect requested) {
		switch (requested) {
			case ReplicaEffect.Send send -> this.cluster.send(send.to(), send.message());
			case ReplicaEffect.Persist persist -> write(this.disk.write(persist.records(), false), persist.ticket());
			case ReplicaEffect.Roll roll -> write(this.disk.write(roll.records(), true), roll.ticket());
			case ReplicaEffect.ReadChunk read -> readChunk(read);
			case ReplicaEffect.WriteChunk write -> writeChunk(write);
			case ReplicaEffect.Restore restore -> restore(restore.header());
			case ReplicaEffect.NotLeader effect ->
				complete(effect.token(), new ProposalOutcome.NotLeader(effect.leader()));
			case ReplicaEffect.Refused effect ->
				complete(effect.token(), new ProposalOutcome.NotLeader(Optional.empty()));
			case ReplicaEffect.Unknown effect -> complete(effect.token(), new ProposalOutcome.Unknown());
			case ReplicaEffect.Confirmed effect -> {
				applyCommitted();
				Consumer<Optional<Long>> confirmationCallback = this.confirmations.remove(effect.token());
				if (confirmationCallback != null) {
					confirmationCallback.accept(Optional.of(effect.term()));
				}
			}
			case ReplicaEffect.Notify effect -> {
			}
		}
	}

	private void write(SimulatedDisk.Write write, long ticket) {
		long latency = this.disk.reserve(this.cluster.clock().nowNanos(),
				SYNC_NANOS + this.random.nextLong(SYNC_JITTER_NANOS));
		schedule(latency, () -> {
			if (this.disk.full()) {
				failDisk();
				return;
			}
			this.disk.sync(write);
			handle(new ReplicaEvent.Synced(ticket));
		});
	}

	private void failDisk() {
		if (this.core.role() != ReplicaRole.FAULTED) {
			handle(new ReplicaEvent.DiskFailed());
			schedule(DISK_RETRY_NANOS, this::reopenDisk);
		}
	}

	private void reopenDisk() {
		if (this.disk.full()) {
			schedule(DISK_RETRY_NANOS, this::reopenDisk);
			return;
		}
		this.disk.crash(this.random);
		startCore();
	}

	private void readChunk(ReplicaEffect.ReadChunk read) {
		ByteString state = this.disk.snapshot(read.header());
		schedule(SYNC_NANOS, () -> {
			if (state == null) {
				SnapshotHeader gone = read.header().toBuilder().clearChecksum().clearLength().build();
				handle(new ReplicaEvent.ChunkRead(read.to(), gone, read.offset(), ByteString.EMPTY));
				return;
			}
			int end = (int) Math.min(state.size(), read.offset() + this.cluster.limits().chunkBytes());
			ByteString part = state.substring((int) read.offset(), end);
			handle(new ReplicaEvent.ChunkRead(read.to(), read.header(), read.offset(), part));
		});
	}

	private void writeChunk(ReplicaEffect.WriteChunk write) {
		schedule(SYNC_NANOS, () -> {
			if (this.disk.full()) {
				failDisk();
				return;
			}
			long next = this.disk.writeChunk(write.header(), write.offset(), write.data());
			handle(new ReplicaEvent.ChunkWritten(write.header(), next, next == write.header().getLength()));
		});
	}

	private void restore(SnapshotHeader header) {
		if (header.getIndex() <= this.appliedIndex) {
			return;
		}
		try {
			this.machine.restore(this.disk.snapshot(header).newInput());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.cluster.monitor().restored(this, header);
		this.appliedIndex = header.getIndex();
		this.snapshotSchedule.recordSnapshot(header);
		this.epoch = header.getEpoch();
	}

	private void applyCommitted() {
		Optional<CommittedEntry> next = this.core.nextCommitted();
		while (next.isPresent()) {
			apply(next.get());
			next = this.core.nextCommitted();
		}
	}

	private void apply(CommittedEntry committed) {
		long index = committed.entry().getIndex();
		this.cluster.monitor().committed(this, committed.entry());
		if (index <= this.appliedIndex) {
			return;
		}
		byte[] result = committed.entry().hasCommand()
				? this.machine.apply(index, committed.entry().getCommand().toByteArray()) : NO_RESULT;
		this.appliedIndex = index;
		Consumer<ProposalOutcome> proposalCallback = this.proposals.remove(committed.token());
		if (proposalCallback != null) {
			proposalCallback.accept(new ProposalOutcome.Committed(index, result));
		}
		if (this.snapshotSchedule.recordApplied(committed.entry())) {
			takeSnapshot(committed);
		}
	}

	private void takeSnapshot(CommittedEntry committed) {
		SnapshotHeader described = SnapshotHeader.newBuilder()
			.setIndex(committed.entry().getIndex())
			.setTerm(committed.entry().getTerm())
			.setMembership(committed.membership())
			.setEpoch(this.epoch)
			.build();
		byte[] state = snapshot();
		this.snapshotSchedule.recordSnapshot(described.toBuilder().setLength(state.length).build());
		schedule(SYNC_NANOS, () -> {
			if (!this.disk.full()) {
				handle(new ReplicaEvent.SnapshotTaken(this.disk.saveSnapshot(described, state)));
			}
		});
	}

	private byte[] snapshot() {
		ByteArrayOutputStream state = new ByteArrayOutputStream();
		try {
			this.machine.snapshot(state);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return state.toByteArray();
	}

}
