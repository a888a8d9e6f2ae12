package io.verbenatrack.control.link;

import java.time.Duration;

import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.protocol.control.ReplicaMessage;

/**
 * Sends messages to one replica over a connection that is replaced when receipts stay
 * out, however open it looks.
 */
final class PeerLink implements AutoCloseable {

	/** Longer than the other side leaves between two receipts. */
	private static final long RECEIPT_EXPECTED_NANOS = Duration.ofMillis(250).toNanos();

	private final MessageStream.Opener opener;

	private final MonotonicClock clock;

	private final long silenceNanos;

	private MessageStream stream;

	private long generation;

	/** Whether a message was sent that the other side has to answer by a receipt. */
	private boolean receiptDue;

	private long receiptDueSinceNanos;

	private long receiptNanos;

	private long openedNanos;

	private boolean opened;

	private boolean closed;

	private long messagesSent;

	private long replacements;

	private long sentBytes;

	PeerLink(MessageStream.Opener opener, MonotonicClock clock, Duration silence) {
		this.opener = opener;
		this.clock = clock;
		this.silenceNanos = silence.toNanos();
	}

	synchronized void send(ReplicaMessage message) {
		if (this.closed) {
			return;
		}
		long now = this.clock.nanoTime();
		if (this.stream != null && silent(now)) {
			drop();
		}
		if (this.stream == null && !reopen(now)) {
			return;
		}
		if (!this.receiptDue && now - this.receiptNanos >= RECEIPT_EXPECTED_NANOS) {
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

	private boolean silent(long now) {
		return this.receiptDue && now - this.receiptDueSinceNanos > this.silenceNanos;
	}

	// Opens a connection, but not right after the last one broke.
	private boolean reopen(long now) {
		if (this.opened && now - this.openedNanos < this.silenceNanos / 2) {
			return false;
		}
		if (this.opened) {
			this.replacements++;
		}
		this.opened = true;
		this.openedNanos = now;
		this.messagesSent = 0;
		this.receiptDue = false;
		this.receiptNanos = now - RECEIPT_EXPECTED_NANOS;
		this.generation++;
		this.stream = this.opener.open(new Receipts(this.generation));
		return true;
	}

	private void drop() {
		MessageStream broken = this.stream;
		this.stream = null;
		if (broken != null) {
			broken.close();
		}
	}

	synchronized long replacements() {
		return this.replacements;
	}

	synchronized long sentBytes() {
		return this.sentBytes;
	}

	@Override
	public synchronized void close() {
		this.closed = true;
		drop();
	}

	private synchronized void received(long ofGeneration) {
		if (ofGeneration == this.generation) {
			this.receiptDue = false;
			this.receiptNanos = this.clock.nanoTime();
		}
	}

	private synchronized void broken(long ofGeneration) {
		if (ofGeneration == this.generation) {
			drop();
		}
	}

	private final class Receipts implements MessageStream.Events {

		private final long ofGeneration;

		private Receipts(long ofGeneration) {
			this.ofGeneration = ofGeneration;
		}

		@Override
		public void received(long count) {
			PeerLink.this.received(this.ofGeneration);
		}

		@Override
		public void broken() {
			PeerLink.this.broken(this.ofGeneration);
		}

	}

}
