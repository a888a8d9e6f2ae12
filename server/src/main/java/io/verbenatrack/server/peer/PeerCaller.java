package io.verbenatrack.server.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.grpc.ManagedChannel;
import io.grpc.stub.StreamObserver;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.protocol.entry.CommandReply;
import io.verbenatrack.protocol.entry.CommandRequest;
import io.verbenatrack.protocol.entry.EntryServiceGrpc;
import io.verbenatrack.server.command.CommandCodec;
import io.verbenatrack.server.command.EntryCommand;
import io.verbenatrack.server.command.EntryReply;

/**
 * Sends commands to other instances, without retries.
 */
final class PeerCaller {

	private final PeerChannels channels;

	private final CommandCodec codec;

	PeerCaller(PeerChannels channels, CommandCodec codec) {
		this.channels = channels;
		this.codec = codec;
	}

	CompletableFuture<CallResult> call(InstanceId instance, EntryCommand command, Duration timeout) {
		CompletableFuture<CallResult> result = new CompletableFuture<>();
		ManagedChannel channel = this.channels.channel(instance).orElse(null);
		if (channel == null) {
			result.complete(new CallResult.NoReply(false));
			return result;
		}
		CommandRequest request = CommandRequest.newBuilder()
			.setCommand(ByteString.copyFrom(this.codec.encode(command)))
			.build();
		EntryServiceGrpc.newStub(channel)
			.withDeadlineAfter(timeout.toMillis(), TimeUnit.MILLISECONDS)
			.execute(request, new ReplyObserver(result, instance, channel));
		return result;
	}

	/** The result of a call. */
	sealed interface CallResult {

		/**
		 * The instance replied.
		 *
		 * @param reply the reply
		 */
		record Replied(EntryReply reply) implements CallResult {

		}

		/**
		 * There was no reply.
		 *
		 * @param mayHaveArrived whether the instance may have received the command
		 */
		record NoReply(boolean mayHaveArrived) implements CallResult {

		}

	}

	private final class ReplyObserver implements StreamObserver<CommandReply> {

		private final CompletableFuture<CallResult> result;

		private final InstanceId instance;

		private final ManagedChannel channel;

		private ReplyObserver(CompletableFuture<CallResult> result, InstanceId instance, ManagedChannel channel) {
			this.result = result;
			this.instance = instance;
			this.channel = channel;
		}

		@Override
		public void onNext(CommandReply reply) {
			this.result
				.complete(new CallResult.Replied(PeerCaller.this.codec.decodeReply(reply.getReply().toByteArray())));
		}

		@Override
		public void onError(Throwable failure) {
			PeerCaller.this.channels.replaceIfTimedOut(this.instance, this.channel, failure);
			this.result.complete(new CallResult.NoReply(true));
		}

		@Override
		public void onCompleted() {
			this.result.complete(new CallResult.NoReply(true));
		}

	}

}
