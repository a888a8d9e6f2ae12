package io.verbenatrack.fleetd;

import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.state.RecordCodec;

/**
 * Encodes and decodes the calls between instances and the replies to them.
 */
public final class CallCodec {

	private final RecordCodec records = RecordCodec.cbor(FleetCall.class, FleetReply.class);

	byte[] encode(FleetCall call) {
		return this.records.encode(new CallMessage(call));
	}

	FleetCall decodeCall(byte[] bytes) {
		return this.records.decode(bytes, CallMessage.class).call();
	}

	byte[] encode(FleetReply reply) {
		return this.records.encode(new ReplyMessage(reply));
	}

	FleetReply decodeReply(byte[] bytes) {
		return this.records.decode(bytes, ReplyMessage.class).reply();
	}

	private record CallMessage(FleetCall call) {

	}

	private record ReplyMessage(FleetReply reply) {

	}

}
