package io.verbenatrack.control.configuration;

import java.util.Optional;

import io.verbenatrack.control.ReplicaPeer;
import io.verbenatrack.protocol.control.ConfigurationReply;
import io.verbenatrack.protocol.control.ConfigurationRequest;

/**
 * Asks replicas for configuration leases.
 */
public interface ConfigurationClient extends AutoCloseable {

	/**
	 * Asks a replica and waits for its answer, though not for long.
	 * @param replica the replica
	 * @param request what this instance holds
	 * @return the answer, or empty when there was none in time
	 */
	Optional<ConfigurationReply> requestLease(ReplicaPeer replica, ConfigurationRequest request);

	@Override
	void close();

}
