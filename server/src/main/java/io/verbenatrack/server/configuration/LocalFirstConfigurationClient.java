package io.verbenatrack.server.configuration;

import java.util.Optional;

import io.verbenatrack.control.ReplicaPeer;
import io.verbenatrack.control.configuration.ConfigurationAuthority;
import io.verbenatrack.control.configuration.ConfigurationClient;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.protocol.control.ConfigurationReply;
import io.verbenatrack.protocol.control.ConfigurationRequest;

/**
 * Requests configuration leases from the replica of this instance by a direct call and
 * from other replicas over the network.
 */
public final class LocalFirstConfigurationClient implements ConfigurationClient {

	private final InstanceId self;

	private final Optional<ConfigurationAuthority> localAuthority;

	private final ConfigurationClient remoteClient;

	/**
	 * Creates the client.
	 * @param self this instance
	 * @param localAuthority grants leases on this instance, empty if it is not a replica
	 * @param remoteClient calls the other replicas
	 */
	public LocalFirstConfigurationClient(InstanceId self, Optional<ConfigurationAuthority> localAuthority,
			ConfigurationClient remoteClient) {
		this.self = self;
		this.localAuthority = localAuthority;
		this.remoteClient = remoteClient;
	}

	@Override
	public Optional<ConfigurationReply> requestLease(ReplicaPeer replica, ConfigurationRequest request) {
		if (replica.instance().equals(this.self)) {
			return this.localAuthority.map((authority) -> authority.answer(request));
		}
		return this.remoteClient.requestLease(replica, request);
	}

	@Override
	public void close() {
		this.remoteClient.close();
	}

}
