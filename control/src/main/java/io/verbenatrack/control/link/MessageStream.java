package io.verbenatrack.control.link;

import io.verbenatrack.protocol.control.ReplicaMessage;

/**
 * One connection to another replica.
 */
interface MessageStream extends AutoCloseable {

	/**
	 * Sends a message.
	 * @param message the message
	 */
	void send(ReplicaMessage message);

	/**
	 * Whether the connection can take more without queueing it.
	 * @return whether there is room
	 */
	boolean isReady();

	/**
	 * Gives the connection up at once.
	 */
	@Override
	void close();

	/**
	 * Opens connections to one replica.
	 */
	interface Factory {

		/**
		 * Opens a new connection.
		 * @param listener hears what comes back
		 * @return the connection
		 */
		MessageStream open(Listener listener);

	}

	/**
	 * Hears what comes back on a connection.
	 */
	interface Listener {

		/**
		 * The other side has received messages.
		 * @param count how many on this connection so far
		 */
		void receiptReceived(long count);

		/**
		 * The connection broke.
		 */
		void disconnected();

	}

}
