package io.verbenatrack.control.link;

import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;

import io.verbenatrack.protocol.control.DeliveryReceipt;
import io.verbenatrack.protocol.control.ReplicaMessage;
import io.verbenatrack.protocol.control.ReplicaServiceGrpc;

/**
 * A gRPC stream on its own channel, so that a replacement does not share the connection
 * of an unresponsive stream.
 */
final class GrpcMessageStream implements MessageStream {

	private final ManagedChannel channel;

	private volatile ClientCallStreamObserver<ReplicaMessage> call;

	private GrpcMessageStream(String address, Listener listener) {
		this.channel = NettyChannelBuilder.forTarget(address).usePlaintext().directExecutor().build();
		ReplicaServiceGrpc.newStub(this.channel).deliver(new Receiver(listener));
	}

	static Factory factory(String address) {
		return (listener) -> new GrpcMessageStream(address, listener);
	}

	@Override
	public void send(ReplicaMessage message) {
		this.call.onNext(message);
	}

	@Override
	public boolean isReady() {
		return this.call.isReady();
	}

	@Override
	public void close() {
		this.channel.shutdownNow();
	}

	private final class Receiver implements ClientResponseObserver<ReplicaMessage, DeliveryReceipt> {

		private final Listener listener;

		private Receiver(Listener listener) {
			this.listener = listener;
		}

		@Override
		public void beforeStart(ClientCallStreamObserver<ReplicaMessage> started) {
			GrpcMessageStream.this.call = started;
		}

		@Override
		public void onNext(DeliveryReceipt receipt) {
			this.listener.receiptReceived(receipt.getReceived());
		}

		@Override
		public void onError(Throwable failure) {
			this.listener.disconnected();
		}

		@Override
		public void onCompleted() {
			this.listener.disconnected();
		}

	}

}
