package io.verbenatrack.control.link;

import java.io.IOException;
import java.time.Duration;

import io.verbenatrack.control.ReplicaSettings;
import io.verbenatrack.control.StateMachine;
import io.verbenatrack.control.configuration.ConfigurationAuthority;
import io.verbenatrack.control.driver.Replica;
import io.verbenatrack.control.driver.ReplicaListener;
import io.verbenatrack.model.LeaseClock;
import io.verbenatrack.model.MonotonicClock;

/**
 * A replica that communicates over gRPC, with the service to register on the gRPC server
 * of its instance.
 *
 * @param replica the replica, to be closed before the server
 * @param service the service
 */
public record GrpcReplica(Replica replica, ReplicaGrpcService service) implements AutoCloseable {

	/**
	 * How long an instance may use a configuration, counted from when it requested the
	 * lease.
	 */
	public static final Duration CONFIGURATION_LEASE = Duration.ofSeconds(3);

	/**
	 * Starts a replica from the files of its data folder.
	 * @param settings its settings
	 * @param stateMachine the state machine to which commands are applied
	 * @param configuration supplies the configuration applied by the state machine
	 * @param listener receives notices for operators
	 * @param clock the clock for the leader lease and for timeouts
	 * @return the replica and its service
	 * @throws IOException if the data folder cannot be used; the message includes the
	 * remedy
	 */
	public static GrpcReplica start(ReplicaSettings settings, StateMachine stateMachine,
			ConfigurationAuthority.Source configuration, ReplicaListener listener, LeaseClock clock)
			throws IOException {
		MonotonicClock timeouts = () -> clock.held().nanos();
		Replica replica = Replica.start(settings, stateMachine, new GrpcTransport(settings, timeouts), listener, clock);
		ConfigurationAuthority authority = new ConfigurationAuthority(replica, configuration, CONFIGURATION_LEASE);
		return new GrpcReplica(replica, new ReplicaGrpcService(replica, authority, timeouts));
	}

	@Override
	public void close() {
		this.replica.close();
	}

}
