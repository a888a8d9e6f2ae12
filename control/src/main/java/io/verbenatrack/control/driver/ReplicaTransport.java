package io.verbenatrack.control.driver;

import io.verbenatrack.protocol.control.ReplicaMember;
import io.verbenatrack.protocol.control.ReplicaMessage;

/**
 * Sends messages to other replicas. Messages may be lost, duplicated or reordered.
 */
public interface ReplicaTransport extends AutoCloseable {

	/**
	 * Sends a message without blocking.
	 * @param to the recipient
	 * @param message the message
	 */
	void send(ReplicaMember to, ReplicaMessage message);

	@Override
	void close();

	/**
	 * Returns a transport for a cluster of one replica.
	 * @return a transport that drops all messages
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
