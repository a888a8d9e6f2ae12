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
 * The gRPC service that passes calls of other instances to the fleet client of this
 * replica.
 */
public final class FleetService extends EntryServiceGrpc.EntryServiceImplBase {

	/** An upper limit only: the calling instance has a shorter timeout per attempt. */
	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);

	private final FleetClient client;

	private final CallCodec codec;

	/**
	 * Creates the service.
	 * @param client answers the calls while this replica leads
	 * @param codec decodes the calls and encodes the replies
	 */
	public FleetService(FleetClient client, CallCodec codec) {
		this.client = client;
		this.codec = codec;
	}

	@Override
	public void execute(CommandRequest request, StreamObserver<CommandReply> observer) {
		FleetCall call;
		try {
			call = this.codec.decodeCall(request.getCommand().toByteArray());
		}
		catch (RuntimeException ex) {
			observer.onError(Status.INVALID_ARGUMENT
				.withDescription(
						"The call cannot be read; both instances have to run the same version: " + ex.getMessage())
				.asRuntimeException());
			return;
		}
		this.client.call(call, CALL_TIMEOUT).thenAccept((reply) -> {
			observer.onNext(CommandReply.newBuilder().setReply(ByteString.copyFrom(this.codec.encode(reply))).build());
			observer.onCompleted();
		}).exceptionally((failure) -> {
			observer.onError(Status.INTERNAL.withDescription("The call was not answered: " + failure)
				.withCause(failure)
				.asRuntimeException());
			return null;
		});
	}

}
