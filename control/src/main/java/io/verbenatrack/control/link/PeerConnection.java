package io.verbenatrack.control.link;

import java.time.Duration;

import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.protocol.control.ReplicaMessage;

/**
 * Sends messages to one replica. A stream without receipts is replaced even if it still
 * appears to be open.
 */
final class PeerConnection implements AutoCloseable {

	/** Longer than the interval at which the peer sends receipts. */
	private static final long EXPECTED_RECEIPT_INTERVAL_NANOS = Duration.ofMillis(250).toNanos();

	private final MessageStream.Factory streamFactory;

	private final MonotonicClock clock;

	private final long silenceTimeoutNanos;

	private MessageStream stream;

	private long generation;

	/** Whether a message was sent that the peer has to acknowledge with a receipt. */
	private boolean receiptDue;

	private long receiptDueSinceNanos;

	private long lastReceiptNanos;

	private long lastOpenedNanos;

	private boolean everOpened;

	private boolean closed;

	private long messagesSent;

	private long reconnections;

	private long sentBytes;

	PeerConnection(MessageStream.Factory streamFactory, MonotonicClock clock, Duration silenceTimeout) {
		this.streamFactory = streamFactory;
		this.clock = clock;
		this.silenceTimeoutNanos = silenceTimeout.toNanos();
	}

	synchronized void send(ReplicaMessage message) {
		if (this.closed) {
			return;
		}
		long now = this.clock.nanoTime();
		if (this.stream != null && receiptOverdue(now)) {
			closeStream();
		}
		if (this.stream == null && !openStream(now)) {
			return;
		}
		if (!this.receiptDue && now - this.lastReceiptNanos >= EXPECTED_RECEIPT_INTERVAL_NANOS) {
			this.receiptDue = true;
			this.receiptDueSinceNanos = now;
		}
		if (!this.stream.isReady() && this.messagesSent > 0) {
			return;
		}
		this.messagesSent++;
		this.sentBytes += message.getSerializedSize();
		this.stream.send(message);
	}

	private boolean receiptOverdue(long now) {
		return this.receiptDue && now - this.receiptDueSinceNanos > this.silenceTimeoutNanos;
	}

	// Opens a stream, but not within half the silence timeout after the last one was
	// opened.
	private boolean openStream(long now) {
		if (this.everOpened && now - this.lastOpenedNanos < this.silenceTimeoutNanos / 2) {
			return false;
		}
		if (this.everOpened) {
			this.reconnections++;
		}
		this.everOpened = true;
		this.lastOpenedNanos = now;
		this.messagesSent = 0;
		this.receiptDue = false;
		this.lastReceiptNanos = now - EXPECTED_RECEIPT_INTERVAL_NANOS;
		this.generation++;
		this.stream = this.streamFactory.open(new StreamListener(this.generation));
		return true;
	}

	private void closeStream() {
		MessageStream closing = this.stream;
		this.stream = null;
		if (closing != null) {
			closing.close();
		}
	}

	synchronized long reconnections() {
		return this.reconnections;
	}

	synchronized long sentBytes() {
		return this.sentBytes;
	}

	@Override
	public synchronized void close() {
		this.closed = true;
		closeStream();
	}

	private synchronized void receiptReceived(long streamGeneration) {
		if (streamGeneration == this.generation) {
			this.receiptDue = false;
			this.lastReceiptNanos = this.clock.nanoTime();
		}
	}

	private synchronized void disconnected(long streamGeneration) {
		if (streamGeneration == this.generation) {
			closeStream();
		}
	}

	private final class StreamListener implements MessageStream.Listener {

		private final long streamGeneration;

		private StreamListener(long streamGeneration) {
			this.streamGeneration = streamGeneration;
		}

		@Override
		public void receiptReceived(long count) {
			PeerConnection.this.receiptReceived(this.streamGeneration);
		}

		@Override
		public void disconnected() {
			PeerConnection.this.disconnected(this.streamGeneration);
		}

	}

}
