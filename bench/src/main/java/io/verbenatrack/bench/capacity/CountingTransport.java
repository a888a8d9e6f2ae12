package io.verbenatrack.bench.capacity;

import java.util.concurrent.atomic.AtomicLong;

import io.verbenatrack.control.driver.ReplicaTransport;
import io.verbenatrack.protocol.control.ReplicaMember;
import io.verbenatrack.protocol.control.ReplicaMessage;

/**
 * Counts what a replica sends to the others.
 */
final class CountingTransport implements ReplicaTransport {

	/**
	 * Prefixes of gRPC and HTTP/2 frames, TCP and IP headers, and the segment that
	 * acknowledges.
	 */
	private static final int FRAMING_BYTES = 5 + 9 + 52 + 52;

	private final ReplicaTransport delegate;

	private final AtomicLong messages = new AtomicLong();

	private final AtomicLong bytes = new AtomicLong();

	CountingTransport(ReplicaTransport delegate) {
		this.delegate = delegate;
	}

	@Override
	public void send(ReplicaMember to, ReplicaMessage message) {
		this.messages.incrementAndGet();
		this.bytes.addAndGet(message.getSerializedSize());
		this.delegate.send(to, message);
	}

	long messages() {
		return this.messages.get();
	}

	long payloadBytes() {
		return this.bytes.get();
	}

	// Without batching of frames, thus an upper bound.
	long framedBytes() {
		return payloadBytes() + messages() * FRAMING_BYTES;
	}

	@Override
	public void close() {
		this.delegate.close();
	}

}
