package io.verbenatrack.server.configuration;

import java.util.Optional;

import io.verbenatrack.control.ReplicaPeer;
import io.verbenatrack.control.configuration.ConfigurationAuthority;
import io.verbenatrack.control.configuration.ConfigurationClient;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.protocol.control.ConfigurationReply;
import io.verbenatrack.protocol.control.ConfigurationRequest;

/**
 * Asks the replica of this instance without a network, and the others over it.
 */
public final class LocalFirstConfigurationClient implements ConfigurationClient {

	private final InstanceId self;

	private final Optional<ConfigurationAuthority> localAuthority;

	private final ConfigurationClient remoteClient;

	/**
	 * Creates the client.
	 * @param self this instance
	 * @param localAuthority grants leases here, if this instance is a replica
	 * @param remoteClient asks the others
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
