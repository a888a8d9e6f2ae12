package io.verbenatrack.control.link;

import java.time.Duration;
import java.util.function.Consumer;

import io.grpc.stub.StreamObserver;

import io.verbenatrack.control.configuration.ConfigurationAuthority;
import io.verbenatrack.control.driver.Replica;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.protocol.control.ConfigurationReply;
import io.verbenatrack.protocol.control.ConfigurationRequest;
import io.verbenatrack.protocol.control.DeliveryReceipt;
import io.verbenatrack.protocol.control.IdentityReply;
import io.verbenatrack.protocol.control.IdentityRequest;
import io.verbenatrack.protocol.control.ReplicaMessage;
import io.verbenatrack.protocol.control.ReplicaServiceGrpc;

/**
 * The gRPC service through which other instances call a replica.
 */
public final class ReplicaGrpcService extends ReplicaServiceGrpc.ReplicaServiceImplBase {

	private static final long RECEIPT_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();

	private final Replica replica;

	private final ConfigurationAuthority authority;

	private final MonotonicClock clock;

	/**
	 * Creates the service.
	 * @param replica the replica of this instance
	 * @param authority grants configuration leases
	 * @param clock the monotonic clock
	 */
	public ReplicaGrpcService(Replica replica, ConfigurationAuthority authority, MonotonicClock clock) {
		this.replica = replica;
		this.authority = authority;
		this.clock = clock;
	}

	@Override
	public void identity(IdentityRequest request, StreamObserver<IdentityReply> replies) {
		replies.onNext(IdentityReply.newBuilder()
			.setCluster(this.replica.status().cluster())
			.setInstance(this.replica.self().text())
			.setTerm(this.replica.term())
			.build());
		replies.onCompleted();
	}

	@Override
	public StreamObserver<ReplicaMessage> deliver(StreamObserver<DeliveryReceipt> receipts) {
		return new Receiver(this.replica::receive, receipts, this.clock);
	}

	@Override
	public void configuration(ConfigurationRequest request, StreamObserver<ConfigurationReply> replies) {
		replies.onNext(this.authority.answer(request));
		replies.onCompleted();
	}

	/**
	 * Passes the messages of one stream to the replica and limits the rate of receipts.
	 */
	private static final class Receiver implements StreamObserver<ReplicaMessage> {

		private final Consumer<ReplicaMessage> messages;

		private final StreamObserver<DeliveryReceipt> receipts;

		private final MonotonicClock clock;

		private long received;

		private long lastReceiptNanos;

		private Receiver(Consumer<ReplicaMessage> messages, StreamObserver<DeliveryReceipt> receipts,
				MonotonicClock clock) {
			this.messages = messages;
			this.receipts = receipts;
			this.clock = clock;
		}

		@Override
		public void onNext(ReplicaMessage message) {
			this.messages.accept(message);
			this.received++;
			long now = this.clock.nanoTime();
			if (this.received == 1 || now - this.lastReceiptNanos >= RECEIPT_INTERVAL_NANOS) {
				this.lastReceiptNanos = now;
				this.receipts.onNext(DeliveryReceipt.newBuilder().setReceived(this.received).build());
			}
		}

		@Override
		public void onError(Throwable failure) {
			// The peer has abandoned the stream and opens another one.
		}

		@Override
		public void onCompleted() {
			this.receipts.onCompleted();
		}

	}

}
