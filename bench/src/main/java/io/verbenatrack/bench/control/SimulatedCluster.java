package io.verbenatrack.bench.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import io.verbenatrack.control.LogLimits;
import io.verbenatrack.control.MembershipPolicy;
import io.verbenatrack.control.ReplicaLimits;
import io.verbenatrack.control.ReplicaPeer;
import io.verbenatrack.control.ReplicaTimings;
import io.verbenatrack.control.replica.ReplicaEvent;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.protocol.control.ReplicaMember;
import io.verbenatrack.protocol.control.ReplicaMessage;

/**
 * The replicas of a schedule.
 */
final class SimulatedCluster {

	private static final int FIRST_PORT = 7_000;

	/** Small enough that some logs are compacted by size and others by entries. */
	private static final long LOG_BYTES = 16_000;

	private static final int CHUNK_BYTES = 512;

	/** Replicas after these join once the cluster has formed. */
	private static final int FOUNDING_REPLICAS = 3;

	/**
	 * Shorter than the longer faults, so that schedules cover the replacement and the
	 * return of voters.
	 */
	private static final Duration REPLACEMENT_DELAY = Duration.ofMillis(2400);

	private final VirtualClock clock = new VirtualClock();

	private final List<SimulatedReplica> replicas = new ArrayList<>();

	private final List<ReplicaMember> founders = new ArrayList<>();

	private final SafetyMonitor monitor = new SafetyMonitor(this);

	private final SimulatedNetwork network;

	private final ReplicaLimits limits;

	private final MembershipPolicy membershipPolicy;

	private final SplittableRandom random;

	SimulatedCluster(int size, int entriesBetweenSnapshots, SplittableRandom random) {
		this.random = random;
		this.network = new SimulatedNetwork(this.clock, random.split());
		ReplicaLimits defaults = ReplicaLimits.DEFAULT;
		LogLimits log = new LogLimits(entriesBetweenSnapshots, LOG_BYTES, Math.max(1, entriesBetweenSnapshots / 4),
				LOG_BYTES / 4);
		this.limits = new ReplicaLimits(defaults.commandBytes(), defaults.messageBytes(),
				defaults.unacknowledgedEntries(), defaults.pendingEvents(), defaults.pendingMessageBytes(), log,
				CHUNK_BYTES, defaults.maximumReplicas());
		List<ReplicaPeer> peers = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			peers.add(peer(i));
		}
		peers.subList(0, Math.min(FOUNDING_REPLICAS, size)).forEach((peer) -> this.founders.add(peer.member("")));
		this.membershipPolicy = new MembershipPolicy((size % 2 == 0) ? size - 1 : size, true, REPLACEMENT_DELAY);
		peers.forEach((peer) -> this.replicas.add(new SimulatedReplica(this, peer, random.split())));
	}

	private static ReplicaPeer peer(int number) {
		return new ReplicaPeer(new InstanceId("r" + number), "127.0.0.1", FIRST_PORT + number);
	}

	/**
	 * Adds a machine with an empty disk at an address of its own. It is not started.
	 * @return the machine
	 */
	SimulatedReplica add() {
		SimulatedReplica added = new SimulatedReplica(this, peer(this.replicas.size()), this.random.split());
		this.replicas.add(added);
		return added;
	}

	/**
	 * Returns the machines that were not removed for good.
	 * @return the machines
	 */
	List<SimulatedReplica> present() {
		return this.replicas.stream().filter((replica) -> !replica.retired()).toList();
	}

	/**
	 * Returns how many more voters may lose their disks or be removed for good now: f of
	 * 2 f + 1, less those lost that are still voters.
	 * @return the number, 0 while the membership is not complete and committed
	 */
	int bearableLosses() {
		int failures = this.membershipPolicy.targetVoters() / 2;
		return leader().map((leader) -> leader.core().membership())
			.filter((membership) -> membership.getVotersCount() == this.membershipPolicy.targetVoters())
			.filter((membership) -> membership.equals(this.monitor.committedMembership()))
			.map((membership) -> failures - (int) membership.getVotersList().stream().filter(this::lost).count())
			.orElse(0);
	}

	private boolean lost(ReplicaMember voter) {
		SimulatedReplica replica = replica(voter.getInstance());
		return replica.retired() || !voter.getIncarnation().equals(replica.disk().incarnation());
	}

	void start() {
		this.replicas.forEach(SimulatedReplica::start);
	}

	void send(ReplicaMember to, ReplicaMessage message) {
		SimulatedReplica receiver = replica(to.getInstance());
		this.network.send(to, message, (arrived) -> {
			if (receiver.alive()) {
				this.monitor.delivered(receiver, arrived);
				receiver.handle(new ReplicaEvent.Received(arrived));
			}
		});
	}

	private SimulatedReplica replica(String instance) {
		return this.replicas.get(Integer.parseInt(instance.substring(1)));
	}

	Optional<SimulatedReplica> leader() {
		return this.replicas.stream().filter(SimulatedReplica::leads).findFirst();
	}

	/**
	 * Returns whether the cluster tolerates the loss of a disk: all replicas are alive,
	 * and every voter still has the disk with which it joined.
	 * @return whether a disk may be lost without losing committed entries
	 */
	boolean toleratesDiskLoss() {
		return leader().map((leader) -> leader.core().membership())
			.filter((membership) -> membership.getVotersCount() == this.membershipPolicy.targetVoters())
			.filter((membership) -> this.replicas.stream().allMatch(SimulatedReplica::alive))
			.filter((membership) -> membership.getVotersList()
				.stream()
				.allMatch((voter) -> voter.getIncarnation().equals(replica(voter.getInstance()).disk().incarnation())))
			.isPresent();
	}

	void heal() {
		this.network.heal();
		for (SimulatedReplica replica : present()) {
			replica.disk().full(false);
			replica.disk().extraSyncNanos(0);
			replica.clocks().rate(1);
			replica.wake();
			if (!replica.alive()) {
				replica.start();
			}
		}
	}

	VirtualClock clock() {
		return this.clock;
	}

	SimulatedNetwork network() {
		return this.network;
	}

	List<SimulatedReplica> replicas() {
		return this.replicas;
	}

	List<ReplicaMember> founders() {
		return this.founders;
	}

	SafetyMonitor monitor() {
		return this.monitor;
	}

	ReplicaTimings timings() {
		return ReplicaTimings.DEFAULT;
	}

	MembershipPolicy membershipPolicy() {
		return this.membershipPolicy;
	}

	ReplicaLimits limits() {
		return this.limits;
	}

}
