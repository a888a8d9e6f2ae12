package io.verbenatrack.control.configuration;

import java.util.Optional;

import io.verbenatrack.control.ReplicaPeer;
import io.verbenatrack.protocol.control.ConfigurationReply;
import io.verbenatrack.protocol.control.ConfigurationRequest;

/**
 * Requests configuration leases from replicas.
 */
public interface ConfigurationClient extends AutoCloseable {

	/**
	 * Sends a request to a replica and waits for the reply until a timeout.
	 * @param replica the replica
	 * @param request the request, with the revision that this instance holds
	 * @return the reply, or empty if none arrived in time
	 */
	Optional<ConfigurationReply> requestLease(ReplicaPeer replica, ConfigurationRequest request);

	@Override
	void close();

}
