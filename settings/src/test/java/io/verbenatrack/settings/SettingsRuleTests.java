package io.verbenatrack.settings;

import java.nio.charset.StandardCharsets;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for each {@link SettingsRule}, with accepted and refused settings.
 */
public class SettingsRuleTests {

	private static final String PEER = "peers:\n  - {instance: i-2, region: r, zone: y, grpc: \"10.0.0.2:81\"}\n";

	@Test
	public void listenersMayHaveDifferentPorts() {
		accepts(Examples.INSTANCE);
	}

	@Test
	public void listenersMayNotShareAPort() {
		refuses(Examples.INSTANCE.replace("8081", "8080"), "'grpc' has '127.0.0.1:8080', as has http.");
	}

	@Test
	public void listenersMayBothTakeAnyFreePort() {
		accepts(Examples.INSTANCE.replace("8081", "0").replace("8080", "0"));
	}

	@Test
	public void peersMayDiffer() {
		accepts(Examples.INSTANCE + PEER);
	}

	@Test
	public void peersMayNotRepeatThisInstance() {
		refuses(Examples.INSTANCE + PEER.replace("i-2", "i-1"), "'peers' names 'i-1' twice.");
	}

	@Test
	public void peersMayNotShareAnAddress() {
		refuses(Examples.INSTANCE + PEER + "  - {instance: i-3, region: r, zone: y, grpc: \"10.0.0.2:81\"}\n",
				"'peers' has the address '10.0.0.2:81' twice.");
	}

	@Test
	public void anInstanceWithPeersMayNotTakeAnyFreePort() {
		refuses(Examples.INSTANCE.replace("8081", "0") + PEER, "'grpc' has '127.0.0.1:0', which peers cannot know.");
	}

	@Test
	public void anElectionMayWaitForTwoHeartbeats() {
		accepts(Examples.INSTANCE + "timeouts: {heartbeat: 100ms, election: 200ms}\n");
	}

	@Test
	public void anElectionMayNotBeShorterThanTwoHeartbeats() {
		refuses(Examples.INSTANCE + "timeouts: {heartbeat: 100ms, election: 199ms}\n", "less than two heartbeats");
	}

	@Test
	public void theDefaultTimeoutMayEqualTheMaximum() {
		accepts(Examples.INSTANCE + "timeouts: {request-default: 5s, request-maximum: 5s}\n");
	}

	@Test
	public void theDefaultTimeoutMayNotExceedTheMaximum() {
		refuses(Examples.INSTANCE + "timeouts: {request-default: 6s, request-maximum: 5s}\n", "over request-maximum");
	}

	@Test
	public void aRingMayHoldAPowerOfTwo() {
		accepts(Examples.INSTANCE + "limits: {ring-capacity: 1024}\n");
	}

	@Test
	public void aRingMayNotHoldAnyOtherNumber() {
		refuses(Examples.INSTANCE + "limits: {ring-capacity: 1000}\n", "a ring-capacity of 1000");
	}

	private static void accepts(String text) {
		Examples.value(InstanceSettingsReader.read("s.yaml", text.getBytes(StandardCharsets.UTF_8)));
	}

	private static void refuses(String text, String message) {
		assertThat(Examples.problem(InstanceSettingsReader.read("s.yaml", text.getBytes(StandardCharsets.UTF_8)))
			.message()).startsWith("s.yaml:").contains(message);
	}

}
