package io.verbenatrack.fleetd;

import org.testng.annotations.Test;

import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.state.golden.GoldenBytes;
import io.verbenatrack.state.golden.SampleRecords;

/**
 * Holds the bytes of calls between instances of the fleet.
 */
public class CallFormatTests {

	private final GoldenBytes golden = new GoldenBytes(CallFormatTests.class, "golden-bytes.txt");

	private final CallCodec codec = new CallCodec();

	@Test
	public void callKeepsItsBytes() {
		this.golden.assertCompatible("call", SampleRecords.of(FleetCall.class), this.codec::call, this.codec::encode);
	}

	@Test
	public void replyKeepsItsBytes() {
		this.golden.assertCompatible("reply", SampleRecords.of(FleetReply.class), this.codec::reply,
				this.codec::encode);
	}

}
