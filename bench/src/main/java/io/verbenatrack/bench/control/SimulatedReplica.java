package io.verbenatrack.bench.control;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;

import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.control.ReplicaPeer;
import io.verbenatrack.control.replica.CommittedEntry;
import io.verbenatrack.control.replica.ReplicaConfiguration;
import io.verbenatrack.control.replica.ReplicaCore;
import io.verbenatrack.control.replica.ReplicaEffect;
import io.verbenatrack.control.replica.ReplicaEvent;
import io.verbenatrack.control.replica.ReplicaRole;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * Replica of a schedule. It runs the production protocol and state machines on a
 * simulated disk, network and clock.
 */
final class SimulatedReplica {

	private static final long SYNC_NANOS = 500_000;

	private static final long SYNC_JITTER_NANOS = 1_500_000;

	private static final long RETRY_DISK_NANOS = 1_000_000_000;

	private static final long WALL_START_NANOS = Duration.ofDays(1).toNanos();

	private static final byte[] NO_RESULT = {};

	private final SimulatedCluster cluster;

	private final ReplicaPeer peer;

	private final SplittableRandom random;

	private final Map<Long, Consumer<ProposalOutcome>> proposals = new TreeMap<>();

	private final Map<Long, Consumer<Optional<Long>>> confirmations = new TreeMap<>();

	private SimulatedDisk disk;

	private ReplicaCore core;

	private ControlMachine machine;

	private long appliedIndex;

	private long snapshotIndex;

	private long epoch;

	private long tokens;

	private int life;

	private boolean alive;

	private long pausedUntilNanos;

	private double clockRate = 1;

	private long clockOffsetNanos = 1_000_000_000;

	private int incarnations;

	private int deadlines;

	private long wallOffsetNanos;

	SimulatedReplica(SimulatedCluster cluster, ReplicaPeer peer, SplittableRandom random) {
		this.cluster = cluster;
		this.peer = peer;
		this.random = random;
		loseDisk();
	}

	void loseDisk() {
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

	ControlMachine machine() {
		return this.machine;
	}

	long localNanos() {
		return this.clockOffsetNanos + (long) (this.cluster.time().nowNanos() * this.clockRate);
	}

	/**
	 * Changes the rate of the monotonic clock.
	 * @param rate the number of local seconds per second of virtual time
	 */
	void clockRate(double rate) {
		long before = localNanos();
		this.clockRate = rate;
		this.clockOffsetNanos += before - localNanos();
	}

	/**
	 * Steps the wall clock, on which the protocol must not depend.
	 * @param nanos the step in nanoseconds
	 */
	void stepWallClock(long nanos) {
		this.wallOffsetNanos += nanos;
	}

	Instant wallClock() {
		return Instant.EPOCH.plusNanos(WALL_START_NANOS + this.cluster.time().nowNanos() + this.wallOffsetNanos);
	}

	void start() {
		this.alive = true;
		this.machine = new ControlMachine();
		this.appliedIndex = 0;
		this.snapshotIndex = 0;
		startCore();
	}

	private void startCore() {
		this.life++;
		ReplicaConfiguration configuration = new ReplicaConfiguration("sim", this.peer.member(this.disk.incarnation()),
				this.cluster.founders(), this.cluster.timings(), this.cluster.limits(), this.cluster.plan());
		var recovered = this.disk.recover();
		this.core = new ReplicaCore(configuration, recovered, this.random.split(), localNanos());
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
		this.life++;
		this.pausedUntilNanos = 0;
		this.disk.crash(this.random);
		this.proposals.clear();
		this.confirmations.clear();
	}

	void pause(long nanos) {
		this.pausedUntilNanos = this.cluster.time().nowNanos() + nanos;
	}

	boolean paused() {
		return this.cluster.time().nowNanos() < this.pausedUntilNanos;
	}

	/**
	 * Returns whether this replica would act as leader now.
	 * @return whether it is the leader and its lease is valid by its own clock
	 */
	boolean leads() {
		return this.alive && this.core.leads() && localNanos() - this.core.leaseEndNanos() < 0;
	}

	void handle(ReplicaEvent event) {
		if (!this.alive) {
			return;
		}
		long now = this.cluster.time().nowNanos();
		if (now < this.pausedUntilNanos) {
			later(this.pausedUntilNanos - now, () -> handle(event));
			return;
		}
		this.core.handle(localNanos(), event);
		this.core.flush().forEach(this::carry);
		deliver();
		this.cluster.monitor().observe(this);
		long wait = (long) ((this.core.nextDeadline() - localNanos()) / this.clockRate);
		int deadlineOrder = ++this.deadlines;
		later(Math.max(1_000_000, wait), () -> {
			if (deadlineOrder == this.deadlines) {
				handle(new ReplicaEvent.Tick());
			}
		});
	}

	private void later(long nanos, Runnable action) {
		int asked = this.life;
		this.cluster.time().after(nanos, () -> {
			if (this.life == asked && this.alive) {
				action.run();
			}
		});
	}

	void propose(byte[] command, Consumer<ProposalOutcome> answer) {
		if (!this.alive) {
			return;
		}
		long token = ++this.tokens;
		this.proposals.put(token, answer);
		handle(new ReplicaEvent.Proposed(token, ByteString.copyFrom(command)));
	}

	void confirm(Consumer<Optional<Long>> answer) {
		if (!this.alive) {
			return;
		}
		long token = ++this.tokens;
		this.confirmations.put(token, answer);
		handle(new ReplicaEvent.ConfirmationRequested(token));
	}

	private void answer(long token, ProposalOutcome outcome) {
		Consumer<ProposalOutcome> proposer = this.proposals.remove(token);
		if (proposer != null) {
			proposer.accept(outcome);
		}
		Consumer<Optional<Long>> asker = this.confirmations.remove(token);
		if (asker != null) {
			asker.accept(Optional.empty());
		}
	}

	private void carry(ReplicaEffect effect) {
		switch (effect) {
			case ReplicaEffect.Send send -> this.cluster.send(send.to(), send.message());
			case ReplicaEffect.Persist persist -> write(this.disk.write(persist.records(), false), persist.ticket());
			case ReplicaEffect.Roll roll -> write(this.disk.write(roll.records(), true), roll.ticket());
			case ReplicaEffect.ReadChunk read -> readChunk(read);
			case ReplicaEffect.WriteChunk write -> writeChunk(write);
			case ReplicaEffect.Restore restore -> restore(restore.header());
			case ReplicaEffect.NotLeader no -> answer(no.token(), new ProposalOutcome.NotLeader(no.leader()));
			case ReplicaEffect.Refused no -> answer(no.token(), new ProposalOutcome.NotLeader(Optional.empty()));
			case ReplicaEffect.Unknown no -> answer(no.token(), new ProposalOutcome.Unknown());
			case ReplicaEffect.Confirmed yes -> {
				deliver();
				Consumer<Optional<Long>> asker = this.confirmations.remove(yes.token());
				if (asker != null) {
					asker.accept(Optional.of(yes.term()));
				}
			}
			case ReplicaEffect.Notify note -> {
			}
		}
	}

	private void write(SimulatedDisk.Write write, long ticket) {
		long latency = this.disk.reserve(this.cluster.time().nowNanos(),
				SYNC_NANOS + this.random.nextLong(SYNC_JITTER_NANOS));
		later(latency, () -> {
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
			later(RETRY_DISK_NANOS, this::reopenDisk);
		}
	}

	private void reopenDisk() {
		if (this.disk.full()) {
			later(RETRY_DISK_NANOS, this::reopenDisk);
			return;
		}
		this.disk.crash(this.random);
		startCore();
	}

	private void readChunk(ReplicaEffect.ReadChunk read) {
		ByteString state = this.disk.snapshot(read.header());
		later(SYNC_NANOS, () -> {
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
		later(SYNC_NANOS, () -> {
			if (this.disk.full()) {
				failDisk();
				return;
			}
			long next = this.disk.writePart(write.header(), write.offset(), write.data());
			handle(new ReplicaEvent.ChunkWritten(write.header(), next, next == write.header().getLength()));
		});
	}

	private void restore(SnapshotHeader header) {
		if (header.getIndex() <= this.appliedIndex) {
			return;
		}
		this.machine.restore(this.disk.snapshot(header).toByteArray());
		this.appliedIndex = header.getIndex();
		this.snapshotIndex = header.getIndex();
		this.epoch = header.getEpoch();
	}

	private void deliver() {
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
		Consumer<ProposalOutcome> proposer = this.proposals.remove(committed.token());
		if (proposer != null) {
			proposer.accept(new ProposalOutcome.Committed(index, result));
		}
		if (index - this.snapshotIndex >= this.cluster.limits().entriesBetweenSnapshots()) {
			takeSnapshot(committed);
		}
	}

	private void takeSnapshot(CommittedEntry committed) {
		this.snapshotIndex = committed.entry().getIndex();
		SnapshotHeader described = SnapshotHeader.newBuilder()
			.setIndex(committed.entry().getIndex())
			.setTerm(committed.entry().getTerm())
			.setMembership(committed.membership())
			.setEpoch(this.epoch)
			.build();
		byte[] state = this.machine.snapshot();
		later(SYNC_NANOS, () -> {
			if (!this.disk.full()) {
				handle(new ReplicaEvent.SnapshotTaken(this.disk.saveSnapshot(described, state)));
			}
		});
	}

}
