package io.verbenatrack.control.driver;

import io.verbenatrack.protocol.control.ReplicaMember;
import io.verbenatrack.protocol.control.ReplicaMessage;

/**
 * Carries messages to other replicas; may lose, double and reorder them.
 */
public interface ReplicaTransport extends AutoCloseable {

	/**
	 * Sends a message; never blocks.
	 * @param to who gets it
	 * @param message the message
	 */
	void send(ReplicaMember to, ReplicaMessage message);

	@Override
	void close();

	/**
	 * A transport for a cluster of one.
	 * @return a transport that drops everything
	 */
	static ReplicaTransport none() {
		return new ReplicaTransport() {

			@Override
			public void send(ReplicaMember to, ReplicaMessage message) {
			}

			@Override
			public void close() {
			}

		};
	}

}
