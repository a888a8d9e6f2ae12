package io.verbenatrack.bench.control;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.control.ReplicatedLog;
import io.verbenatrack.control.configuration.ConfigurationAuthority;
import io.verbenatrack.control.configuration.ConfigurationLease;
import io.verbenatrack.model.InstanceId;
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

	private Revision highest = Revision.NONE;

	private boolean cutOff;

	private long renewedNanos;

	SimulatedInstance(SimulatedCluster cluster, SplittableRandom random) {
		this.cluster = cluster;
		this.random = random;
		this.lease = new ConfigurationLease(() -> cluster.time().nowNanos(), (revision, declarations) -> {
			if (revision.compareTo(this.highest) <= 0) {
				cluster.monitor().violate("an instance went back from " + this.highest + " to " + revision);
			}
			this.highest = revision;
		});
	}

	void start() {
		renew(this.random.nextInt(this.cluster.replicas().size()));
	}

	void cutOff(boolean now) {
		this.cutOff = now;
	}

	boolean mayAdmit() {
		return this.lease.mayAdmit();
	}

	long revision() {
		return this.lease.revision().number();
	}

	private void renew(int target) {
		long asked = this.cluster.time().nowNanos();
		SimulatedReplica replica = this.cluster.replicas().get(target);
		if (!this.cutOff) {
			this.cluster.time().after(LINK_NANOS + this.random.nextLong(LINK_NANOS), () -> answer(replica, asked));
		}
		this.cluster.time().after(RETRY_NANOS, () -> {
			boolean renewed = this.renewedNanos >= asked;
			int next = renewed ? target : this.random.nextInt(this.cluster.replicas().size());
			this.cluster.time().after(renewed ? INTERVAL_NANOS - RETRY_NANOS : 0, () -> renew(next));
		});
	}

	private void answer(SimulatedReplica replica, long asked) {
		if (!replica.alive() || replica.paused()) {
			return;
		}
		var authority = new ConfigurationAuthority(new Log(replica), () -> held(replica), LEASE);
		ConfigurationReply reply = authority.answer(ConfigurationRequest.newBuilder()
			.setInstance("instance")
			.setCluster(this.lease.cluster())
			.setEpoch(this.lease.revision().epoch())
			.setRevision(this.lease.revision().number())
			.build());
		this.cluster.time().after(LINK_NANOS + this.random.nextLong(LINK_NANOS), () -> {
			if (!this.cutOff && this.lease.renew(reply, asked)) {
				this.renewedNanos = this.cluster.time().nowNanos();
			}
		});
	}

	private static ConfigurationAuthority.Applied held(SimulatedReplica replica) {
		var inForce = replica.machine().inForce();
		return new ConfigurationAuthority.Applied(replica.core().cluster(), inForce.revision(), inForce.declarations());
	}

	private record Log(SimulatedReplica replica) implements ReplicatedLog {

		@Override
		public CompletableFuture<ProposalOutcome> propose(byte[] command) {
			throw new UnsupportedOperationException("Leases only. Propose at the replica.");
		}

		@Override
		public CompletableFuture<Optional<Long>> confirmLeadership() {
			throw new UnsupportedOperationException("Leases only. Ask the replica.");
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
