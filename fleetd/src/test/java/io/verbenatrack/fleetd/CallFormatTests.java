package io.verbenatrack.fleetd;

import org.testng.annotations.Test;

import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.state.golden.GoldenBytes;
import io.verbenatrack.state.golden.SampleRecords;

/**
 * Tests that the encoding of calls between instances does not change.
 */
public class CallFormatTests {

	private final GoldenBytes golden = new GoldenBytes(CallFormatTests.class, "golden-bytes.txt");

	private final CallCodec codec = new CallCodec();

	@Test
	public void callKeepsItsBytes() {
		this.golden.assertCompatible("call", SampleRecords.of(FleetCall.class), this.codec::decodeCall,
				this.codec::encode);
	}

	@Test
	public void replyKeepsItsBytes() {
		this.golden.assertCompatible("reply", SampleRecords.of(FleetReply.class), this.codec::decodeReply,
				this.codec::encode);
	}

}
