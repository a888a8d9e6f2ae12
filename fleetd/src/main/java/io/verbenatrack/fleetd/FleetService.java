package io.verbenatrack.fleetd;

import java.time.Duration;

import com.google.protobuf.ByteString;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;

import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.protocol.entry.CommandReply;
import io.verbenatrack.protocol.entry.CommandRequest;
import io.verbenatrack.protocol.entry.EntryServiceGrpc;

/**
 * Takes calls of other instances for the leader's loop of this replica.
 */
public final class FleetService extends EntryServiceGrpc.EntryServiceImplBase {

	/** The caller times its attempts itself. */
	private static final Duration PATIENCE = Duration.ofSeconds(10);

	private final FleetCaller local;

	private final CallCodec codec;

	/**
	 * Creates the service.
	 * @param local answers calls while this replica leads
	 * @param codec decodes calls
	 */
	public FleetService(FleetCaller local, CallCodec codec) {
		this.local = local;
		this.codec = codec;
	}

	@Override
	public void execute(CommandRequest request, StreamObserver<CommandReply> observer) {
		FleetCall call;
		try {
			call = this.codec.call(request.getCommand().toByteArray());
		}
		catch (RuntimeException ex) {
			observer.onError(Status.INVALID_ARGUMENT
				.withDescription(
						"The call cannot be read; both instances have to run the same version: " + ex.getMessage())
				.asRuntimeException());
			return;
		}
		this.local.call(call, PATIENCE).thenAccept((reply) -> {
			observer.onNext(CommandReply.newBuilder().setReply(ByteString.copyFrom(this.codec.encode(reply))).build());
			observer.onCompleted();
		});
	}

}
