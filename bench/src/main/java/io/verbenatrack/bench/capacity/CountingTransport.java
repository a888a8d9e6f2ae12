package io.verbenatrack.bench.capacity;

import java.util.concurrent.atomic.AtomicLong;

import io.verbenatrack.control.driver.ReplicaTransport;
import io.verbenatrack.protocol.control.ReplicaMember;
import io.verbenatrack.protocol.control.ReplicaMessage;

/**
 * Transport decorator that counts the messages and bytes that a replica sends.
 */
final class CountingTransport implements ReplicaTransport {

	/**
	 * Framing bytes of a message: gRPC and HTTP/2 prefixes, TCP and IP headers, and one
	 * TCP acknowledgement.
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

	// An upper bound, because it assumes that frames are not batched.
	long framedBytes() {
		return payloadBytes() + messages() * FRAMING_BYTES;
	}

	@Override
	public void close() {
		this.delegate.close();
	}

}
