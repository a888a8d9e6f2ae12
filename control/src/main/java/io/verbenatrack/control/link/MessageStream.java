package io.verbenatrack.control.link;

import io.verbenatrack.protocol.control.ReplicaMessage;

/**
 * A stream of messages to another replica.
 */
interface MessageStream extends AutoCloseable {

	/**
	 * Sends a message.
	 * @param message the message
	 */
	void send(ReplicaMessage message);

	/**
	 * Returns whether a message can be sent without being queued.
	 * @return whether the stream is ready
	 */
	boolean isReady();

	/**
	 * Closes the stream immediately.
	 */
	@Override
	void close();

	/**
	 * Opens streams to one replica.
	 */
	interface Factory {

		/**
		 * Opens a new stream.
		 * @param listener receives the events of the stream
		 * @return the stream
		 */
		MessageStream open(Listener listener);

	}

	/**
	 * Receives the events of a stream.
	 */
	interface Listener {

		/**
		 * Called when a receipt arrives.
		 * @param count the number of messages that the peer has received on this stream
		 */
		void receiptReceived(long count);

		/**
		 * Called when the stream has failed or the peer has closed it.
		 */
		void disconnected();

	}

}
