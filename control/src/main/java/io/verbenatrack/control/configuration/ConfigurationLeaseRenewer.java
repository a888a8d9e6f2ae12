package io.verbenatrack.control.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;

import io.verbenatrack.control.ReplicaPeer;
import io.verbenatrack.model.HeldTime;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.LeaseClock;
import io.verbenatrack.protocol.control.ConfigurationReply;
import io.verbenatrack.protocol.control.ConfigurationRequest;

/**
 * Renews a configuration lease periodically on its own thread. It asks the replica that
 * granted the last lease; if that fails, the leader named in the reply, or else the next
 * replica in turn.
 */
public final class ConfigurationLeaseRenewer implements AutoCloseable {

	private static final Duration RETRY_DELAY = Duration.ofMillis(50);

	private final InstanceId self;

	private final ConfigurationLease lease;

	private final List<ReplicaPeer> replicas;

	private final ConfigurationClient client;

	private final LeaseClock clock;

	private final Duration interval;

	private final Thread thread;

	private volatile boolean closed;

	private int nextReplica;

	/**
	 * Creates a renewer without starting it.
	 * @param self this instance
	 * @param lease the lease to renew
	 * @param replicas the replicas that may grant the lease
	 * @param client sends the requests
	 * @param clock the clock for the lease
	 * @param interval the interval between renewals, a small fraction of the lease
	 * duration
	 */
	public ConfigurationLeaseRenewer(InstanceId self, ConfigurationLease lease, List<ReplicaPeer> replicas,
			ConfigurationClient client, LeaseClock clock, Duration interval) {
		this.self = self;
		this.lease = lease;
		this.replicas = List.copyOf(replicas);
		this.client = client;
		this.clock = clock;
		this.interval = interval;
		this.thread = new Thread(this::run, "configuration-renewal");
		this.thread.setDaemon(true);
	}

	/**
	 * Starts the thread.
	 */
	public void start() {
		this.thread.start();
	}

	private void run() {
		while (!this.closed) {
			Duration delay = renewOnce() ? this.interval : RETRY_DELAY;
			LockSupport.parkNanos(this, delay.toNanos());
		}
	}

	/**
	 * Sends one request to one replica.
	 * @return whether the lease was renewed
	 */
	boolean renewOnce() {
		ReplicaPeer replica = this.replicas.get(this.nextReplica);
		HeldTime requested = this.clock.held();
		ConfigurationRequest request = ConfigurationRequest.newBuilder()
			.setInstance(this.self.value())
			.setCluster(this.lease.cluster())
			.setEpoch(this.lease.revision().epoch())
			.setRevision(this.lease.revision().number())
			.build();
		Optional<ConfigurationReply> reply = this.client.requestLease(replica, request);
		boolean renewed = reply.isPresent() && this.lease.renew(reply.get(), requested);
		if (!renewed) {
			this.nextReplica = reply.flatMap(this::indexOfNamedLeader)
				.orElse((this.nextReplica + 1) % this.replicas.size());
		}
		return renewed;
	}

	private Optional<Integer> indexOfNamedLeader(ConfigurationReply reply) {
		for (int i = 0; i < this.replicas.size(); i++) {
			if (i != this.nextReplica && this.replicas.get(i).instance().value().equals(reply.getLeader())) {
				return Optional.of(i);
			}
		}
		return Optional.empty();
	}

	@Override
	public void close() {
		this.closed = true;
		LockSupport.unpark(this.thread);
		this.client.close();
	}

}
