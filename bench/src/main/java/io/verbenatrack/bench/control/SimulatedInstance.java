package io.verbenatrack.bench.control;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.control.ReplicatedLog;
import io.verbenatrack.control.configuration.ConfigurationAuthority;
import io.verbenatrack.control.configuration.ConfigurationLease;
import io.verbenatrack.model.HeldTime;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.LeaseClock;
import io.verbenatrack.model.Revision;
import io.verbenatrack.protocol.control.ConfigurationReply;
import io.verbenatrack.protocol.control.ConfigurationRequest;

/**
 * Simulated instance without a disk. It uses the configuration while its configuration
 * lease is valid.
 */
final class SimulatedInstance {

	/** Duration of the configuration lease. */
	static final Duration LEASE = Duration.ofSeconds(3);

	private static final long INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

	private static final long RETRY_NANOS = Duration.ofMillis(350).toNanos();

	private static final long LINK_NANOS = Duration.ofMillis(1).toNanos();

	private final SimulatedCluster cluster;

	private final ConfigurationLease lease;

	private final SplittableRandom random;

	private Revision highestRevision = Revision.NONE;

	private boolean isolated;

	private long renewedNanos;

	SimulatedInstance(SimulatedCluster cluster, SplittableRandom random) {
		this.cluster = cluster;
		this.random = random;
		this.lease = new ConfigurationLease(LeaseClock.exact(() -> cluster.clock().nowNanos()),
				(revision, declarations) -> {
					if (revision.compareTo(this.highestRevision) <= 0) {
						cluster.monitor()
							.recordViolation(
									"an instance reverted from revision " + this.highestRevision + " to " + revision);
					}
					this.highestRevision = revision;
				});
	}

	void start() {
		requestLease(this.random.nextInt(this.cluster.replicas().size()));
	}

	void isolated(boolean isIsolated) {
		this.isolated = isIsolated;
	}

	boolean mayAdmit() {
		return this.lease.mayAdmit();
	}

	long revision() {
		return this.lease.revision().number();
	}

	private void requestLease(int replicaIndex) {
		long sentNanos = this.cluster.clock().nowNanos();
		SimulatedReplica replica = this.cluster.replicas().get(replicaIndex);
		if (!this.isolated) {
			this.cluster.clock()
				.schedule(LINK_NANOS + this.random.nextLong(LINK_NANOS), () -> answer(replica, sentNanos));
		}
		this.cluster.clock().schedule(RETRY_NANOS, () -> {
			boolean renewed = this.renewedNanos >= sentNanos;
			int next = renewed ? replicaIndex : randomReplica();
			this.cluster.clock().schedule(renewed ? INTERVAL_NANOS - RETRY_NANOS : 0, () -> requestLease(next));
		});
	}

	private int randomReplica() {
		List<SimulatedReplica> present = this.cluster.present();
		return this.cluster.replicas().indexOf(present.get(this.random.nextInt(present.size())));
	}

	private void answer(SimulatedReplica replica, long sentNanos) {
		if (!replica.alive() || replica.paused()) {
			return;
		}
		var authority = new ConfigurationAuthority(new LeaseOnlyLog(replica), () -> applied(replica), LEASE);
		ConfigurationReply reply = authority.answer(ConfigurationRequest.newBuilder()
			.setInstance("instance")
			.setCluster(this.lease.cluster())
			.setEpoch(this.lease.revision().epoch())
			.setRevision(this.lease.revision().number())
			.build());
		this.cluster.clock().schedule(LINK_NANOS + this.random.nextLong(LINK_NANOS), () -> {
			if (!this.isolated && this.lease.renew(reply, new HeldTime(sentNanos))) {
				this.renewedNanos = this.cluster.clock().nowNanos();
			}
		});
	}

	private static ConfigurationAuthority.Applied applied(SimulatedReplica replica) {
		var inForce = replica.machine().inForce();
		return new ConfigurationAuthority.Applied(replica.core().cluster(), inForce.revision(), inForce.declarations());
	}

	private record LeaseOnlyLog(SimulatedReplica replica) implements ReplicatedLog {

		@Override
		public CompletableFuture<ProposalOutcome> propose(byte[] command) {
			throw new UnsupportedOperationException(
					"This log only serves configuration leases. Propose commands at the replica.");
		}

		@Override
		public CompletableFuture<Optional<Long>> confirmLeadership() {
			throw new UnsupportedOperationException(
					"This log only serves configuration leases. Confirm the leadership at the replica.");
		}

		@Override
		public Optional<InstanceId> leader() {
			return this.replica.core().leader();
		}

		@Override
		public boolean leads() {
			return this.replica.leads();
		}

		@Override
		public long term() {
			return this.replica.core().term();
		}

		@Override
		public void close() {
		}

	}

}
