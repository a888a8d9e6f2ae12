package io.verbenatrack.fleetd;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.fleet.policy.EvacuationSettings;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.ZoneId;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Tests for the calls that evacuate availability zones: their replies, their log lines
 * and the gauge.
 */
public class EvacuationCallTests extends ScriptedLoopFixture {

	private static final ZoneId EAST = new ZoneId("east");

	private static final FleetCall EVACUATE = new FleetCall.EvacuateZone(EAST);

	private static final FleetCall WITHDRAW = new FleetCall.WithdrawEvacuation(EAST);

	private static final Duration MAX_WAIT = Duration.ofSeconds(5);

	@BeforeMethod
	void useSettings() {
		this.loop.useEvacuationSettings(new EvacuationSettings(Set.of(EAST, new ZoneId("west")), MAX_WAIT));
	}

	private boolean evacuated() {
		return this.stateMachine.read((state) -> state.evacuations().evacuated(EAST));
	}

	private void assertGauge(String zone, int value) {
		String line = "verbenatrack_fleet_zones_evacuated{zone=\"" + zone + "\"} " + value;
		await().atMost(Duration.ofSeconds(5)).untilAsserted(() -> assertThat(this.metrics.scrape()).contains(line));
	}

	@Test
	public void ordersAreStoredRepeatedAndRefusedWithALogLine() throws Exception {
		for (FleetCall call : List.of(WITHDRAW, EVACUATE, EVACUATE)) {
			assertThat(reply(call(call))).isEqualTo(new FleetReply.Stored());
		}
		assertThat(evacuated()).isTrue();
		assertGauge("east", 1);
		assertGauge("west", 0);
		assertThat(reply(call(WITHDRAW))).isEqualTo(new FleetReply.Stored());
		assertThat(evacuated()).isFalse();
		assertThat(this.logged).contains("FLEET_ZONE_EVACUATED {zone=east, term=1}",
				"FLEET_EVACUATION_WITHDRAWN {zone=east, term=1}");
		ZoneId north = new ZoneId("north");
		assertThat(reply(call(new FleetCall.EvacuateZone(north)))).isEqualTo(new FleetReply.NoSuchZone());
		assertThat(reply(call(new FleetCall.WithdrawEvacuation(north)))).isEqualTo(new FleetReply.NoSuchZone());
		assertThat(this.logged).filteredOn((line) -> line.startsWith("FLEET_EVACUATION_REFUSED"))
			.hasSize(2)
			.allMatch((line) -> line.contains("north") && line.contains("UNKNOWN_ZONE"));
	}

	// Guards against two orders of one turn that are decided on the same state, and
	// against an order that takes effect after its sender gave up.
	@Test
	public void waitingOrdersAreStoredInTheirOrderOrRefusedAsLate() throws Exception {
		CompletableFuture<Void> gate = holdLoop(WITHDRAW);
		List<CompletableFuture<FleetReply>> replies = List.of(call(EVACUATE), call(WITHDRAW));
		gate.complete(null);
		for (CompletableFuture<FleetReply> reply : replies) {
			assertThat(reply(reply)).isEqualTo(new FleetReply.Stored());
		}
		assertThat(evacuated()).isFalse();
		gate = holdLoop(WITHDRAW);
		CompletableFuture<FleetReply> late = call(EVACUATE);
		this.clockOffsetNanos.addAndGet(MAX_WAIT.plusSeconds(1).toNanos());
		gate.complete(null);
		assertThat(reply(late)).isInstanceOfSatisfying(FleetReply.Refused.class,
				(refused) -> assertThat(refused.problem().kind()).isEqualTo(ProblemKind.UNAVAILABLE));
		assertThat(evacuated()).isFalse();
	}

	// Guards against a withdrawal that is acknowledged without being stored, while the
	// evacuation whose outcome was unknown takes effect after it.
	@Test
	public void orderWhoseOutcomeIsUnknownDoesNotOverrideALaterOne() throws Exception {
		CompletableFuture<byte[]> undecided = new CompletableFuture<>();
		this.log.script = (command) -> {
			this.log.script = this.log::commit;
			undecided.complete(command);
			return CompletableFuture.completedFuture(new ProposalOutcome.Unknown());
		};
		assertThat(reply(call(EVACUATE))).isEqualTo(new FleetReply.OutcomeUnknown());
		assertThat(reply(call(WITHDRAW))).isEqualTo(new FleetReply.Stored());
		this.log.commit(undecided.get());
		assertThat(evacuated()).isFalse();
	}

	// Guards against an order that a snapshot lacks, and a gauge that only the leader
	// which stored the order shows.
	@Test
	public void followerShowsTheOrdersOfASnapshot() throws Exception {
		assertThat(reply(call(EVACUATE))).isEqualTo(new FleetReply.Stored());
		ByteArrayOutputStream snapshot = new ByteArrayOutputStream();
		this.stateMachine.snapshot(snapshot);
		assertThat(reply(call(WITHDRAW))).isEqualTo(new FleetReply.Stored());
		assertGauge("east", 0);
		this.log.leading = false;
		this.stateMachine.restore(new ByteArrayInputStream(snapshot.toByteArray()));
		assertGauge("east", 1);
	}

}
