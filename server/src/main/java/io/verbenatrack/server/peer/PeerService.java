package io.verbenatrack.server.peer;

import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;

import io.verbenatrack.protocol.entry.CommandReply;
import io.verbenatrack.protocol.entry.CommandRequest;
import io.verbenatrack.protocol.entry.EntryServiceGrpc;
import io.verbenatrack.protocol.entry.TargetsReceipt;
import io.verbenatrack.protocol.entry.TargetsUpdate;
import io.verbenatrack.server.command.CommandCodec;
import io.verbenatrack.server.command.CommandExecutor;
import io.verbenatrack.server.command.EntryCommand;

/**
 * The gRPC service for calls from other instances.
 */
public final class PeerService extends EntryServiceGrpc.EntryServiceImplBase {

	private final CommandExecutor localExecutor;

	private final CommandCodec codec;

	private final Consumer<TargetsUpdate> updateListener;

	/**
	 * Creates the service.
	 * @param localExecutor executes commands on this instance, without forwarding them
	 * @param codec encodes commands and replies
	 * @param updateListener receives target updates from other instances
	 */
	public PeerService(CommandExecutor localExecutor, CommandCodec codec, Consumer<TargetsUpdate> updateListener) {
		this.localExecutor = localExecutor;
		this.codec = codec;
		this.updateListener = updateListener;
	}

	@Override
	public void execute(CommandRequest request, StreamObserver<CommandReply> observer) {
		EntryCommand command;
		try {
			command = this.codec.decodeCommand(request.getCommand().toByteArray());
		}
		catch (RuntimeException ex) {
			observer.onError(Status.INVALID_ARGUMENT.withDescription("Unknown command: " + ex.getMessage())
				.asRuntimeException());
			return;
		}
		this.localExecutor.execute(command).thenAccept((reply) -> {
			ByteString bytes = ByteString.copyFrom(this.codec.encode(reply));
			observer.onNext(CommandReply.newBuilder().setReply(bytes).build());
			observer.onCompleted();
		});
	}

	@Override
	public void updateTargets(TargetsUpdate update, StreamObserver<TargetsReceipt> observer) {
		this.updateListener.accept(update);
		observer.onNext(TargetsReceipt.getDefaultInstance());
		observer.onCompleted();
	}

}
