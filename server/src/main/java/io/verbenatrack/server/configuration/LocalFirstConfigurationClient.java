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

	private final Optional<ConfigurationAuthority> local;

	private final ConfigurationClient remote;

	/**
	 * Creates the client.
	 * @param self this instance
	 * @param local grants leases here, if this instance is a replica
	 * @param remote asks the others
	 */
	public LocalFirstConfigurationClient(InstanceId self, Optional<ConfigurationAuthority> local,
			ConfigurationClient remote) {
		this.self = self;
		this.local = local;
		this.remote = remote;
	}

	@Override
	public Optional<ConfigurationReply> requestLease(ReplicaPeer replica, ConfigurationRequest request) {
		if (replica.instance().equals(this.self)) {
			return this.local.map((authority) -> authority.answer(request));
		}
		return this.remote.requestLease(replica, request);
	}

	@Override
	public void close() {
		this.remote.close();
	}

}
