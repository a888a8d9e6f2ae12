package io.verbenatrack.fleetd;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;

import io.verbenatrack.control.ReplicaPeer;
import io.verbenatrack.control.ReplicaSettings;
import io.verbenatrack.control.configuration.ConfigurationAuthority;
import io.verbenatrack.control.driver.LoggingReplicaListener;
import io.verbenatrack.control.link.GrpcReplica;
import io.verbenatrack.fleet.policy.EvacuationSettings;
import io.verbenatrack.fleet.policy.FleetTimings;
import io.verbenatrack.fleet.policy.JobAdmission;
import io.verbenatrack.fleet.state.FleetCodec;
import io.verbenatrack.model.Closer;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.LeaseClock;
import io.verbenatrack.model.Revision;
import io.verbenatrack.telemetry.EventLog;
import io.verbenatrack.telemetry.LogEvent;
import io.verbenatrack.telemetry.MetricName;
import io.verbenatrack.telemetry.Metrics;

/**
 * A control replica of the fleet: the replicated log, the state machine and the loop that
 * makes the leader's decisions.
 */
public final class ControlInstance implements AutoCloseable {

	private final Closer closer;

	private final GrpcReplica replica;

	private final FleetLoop loop;

	private final FleetClient client;

	private ControlInstance(Closer closer, GrpcReplica replica, FleetLoop loop, FleetClient client) {
		this.closer = closer;
		this.replica = replica;
		this.loop = loop;
		this.client = client;
	}

	/**
	 * Starts a replica and the gRPC server for other instances.
	 * @param settings the settings of the replica
	 * @param timings the timing parameters of the leader
	 * @param clock the clock for leases and timeouts
	 * @param wallClock the wall clock
	 * @param events the event log
	 * @param metrics the metrics registry
	 * @return the started instance
	 * @throws IOException if the data folder or the address cannot be used
	 */
	public static ControlInstance start(ReplicaSettings settings, FleetTimings timings, LeaseClock clock,
			InstantSource wallClock, EventLog events, Metrics metrics) throws IOException {
		Closer closer = new Closer();
		if (!clock.exact()) {
			events.write(LogEvent.LEASE_CLOCK_ESTIMATED);
		}
		try {
			FleetCodec codec = new FleetCodec();
			FleetStateMachine stateMachine = new FleetStateMachine(codec);
			GrpcReplica replica = closer.register(GrpcReplica.start(settings, stateMachine,
					() -> new ConfigurationAuthority.Applied(settings.clusterName(), Revision.NONE, ByteString.EMPTY),
					new LoggingReplicaListener(events), clock));
			JobAdmission admission = JobAdmission.ofHeap(Runtime.getRuntime().maxMemory());
			FleetLoop loop = closer.register(new FleetLoop(replica.replica(), stateMachine, codec, timings, admission,
					clock, wallClock, events, metrics));
			FleetClient client = new MeteredFleetClient(loop, metrics, () -> clock.held().nanos());
			metrics.gauge(MetricName.CONTROL_TERM, () -> replica.replica().term());
			metrics.gauge(MetricName.CONTROL_LEADER, () -> replica.replica().leads() ? 1 : 0);
			metrics.gauge(MetricName.CONTROL_HALTED, () -> replica.replica().halted() ? 1 : 0);
			closer.register(new GrpcServer(new InetSocketAddress(settings.self().host(), settings.self().port()),
					List.of(replica.service(), new FleetService(client, new CallCodec()))));
			loop.start();
			return new ControlInstance(closer, replica, loop, client);
		}
		catch (IOException | RuntimeException ex) {
			closer.close();
			throw ex;
		}
	}

	/**
	 * Returns the client that calls this replica, which answers only while it leads.
	 * @return the client
	 */
	public FleetClient client() {
		return this.client;
	}

	/**
	 * Returns the current leader as far as this replica knows.
	 * @return the leader, if known
	 */
	public Optional<InstanceId> leader() {
		return this.replica.replica().leader();
	}

	/**
	 * Sets the replicas that the settings name now, which help this one to join a
	 * cluster.
	 * @param seeds the replicas
	 */
	public void useSeeds(List<ReplicaPeer> seeds) {
		this.replica.replica().useSeeds(seeds);
	}

	/**
	 * Sets the settings that concern evacuations. Until then orders about any zone are
	 * accepted.
	 * @param settings the settings
	 */
	public void useEvacuationSettings(EvacuationSettings settings) {
		this.loop.useEvacuationSettings(settings);
	}

	/**
	 * Hands over leadership and stops the replica.
	 */
	@Override
	public void close() {
		this.closer.close();
	}

}
