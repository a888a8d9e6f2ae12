package io.verbenatrack.fleetd;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.fleet.policy.EvacuationSettings;
import io.verbenatrack.fleet.policy.FleetTimings;
import io.verbenatrack.fleet.policy.JobAdmission;
import io.verbenatrack.fleet.state.FleetCodec;
import io.verbenatrack.model.LeaseClock;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.ZoneId;
import io.verbenatrack.telemetry.LogEvent;
import io.verbenatrack.telemetry.Metrics;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the calls that evacuate availability zones: their replies, their log lines
 * and the gauge.
 */
public class EvacuationCallTests {

	private static final ZoneId EAST = new ZoneId("east");

	private static final FleetCall EVACUATE = new FleetCall.EvacuateZone(EAST);

	private static final FleetCall WITHDRAW = new FleetCall.WithdrawEvacuation(EAST);

	private static final long MAX_WAIT_MILLIS = 200;

	private final FleetCodec codec = new FleetCodec();

	private final List<String> logged = new CopyOnWriteArrayList<>();

	private FleetStateMachine stateMachine;

	private ScriptedLog log;

	private Metrics metrics;

	private FleetLoop loop;

	@BeforeMethod
	void startLoop() {
		this.logged.clear();
		this.stateMachine = new FleetStateMachine(this.codec);
		this.log = new ScriptedLog(this.stateMachine, this.codec);
		this.metrics = new Metrics();
		this.loop = new FleetLoop(this.log, this.stateMachine, this.codec,
				FleetTimings.withLease(Duration.ofSeconds(6)), new JobAdmission(Long.MAX_VALUE),
				LeaseClock.exact(MonotonicClock.system()), InstantSource.system(), (event, fields) -> {
					if (event.number() >= LogEvent.FLEET_ZONE_EVACUATED.number()) {
						this.logged.add(event + " " + fields);
					}
				}, this.metrics);
		this.loop.useEvacuationSettings(
				new EvacuationSettings(Set.of(EAST, new ZoneId("west")), Duration.ofMillis(MAX_WAIT_MILLIS)));
		this.loop.start();
	}

	@AfterMethod
	void stop() {
		this.loop.close();
		this.metrics.close();
	}

	private CompletableFuture<FleetReply> call(FleetCall call) {
		return this.loop.call(call, Duration.ofSeconds(5));
	}

	private static FleetReply reply(CompletableFuture<FleetReply> reply) throws Exception {
		return reply.get(10, TimeUnit.SECONDS);
	}

	private boolean evacuated() {
		return this.stateMachine.read((state) -> state.evacuations().evacuated(EAST));
	}

	private void assertGauge(String zone, int value) throws InterruptedException {
		String line = "verbenatrack_fleet_zones_evacuated{zone=\"" + zone + "\"} " + value;
		long deadlineNanos = System.nanoTime() + Duration.ofSeconds(5).toNanos();
		while (!this.metrics.scrape().contains(line) && System.nanoTime() - deadlineNanos < 0) {
			Thread.sleep(10);
		}
		assertThat(this.metrics.scrape()).contains(line);
	}

	@Test
	public void ordersAreStoredAndMayBeRepeated() throws Exception {
		assertThat(reply(call(WITHDRAW))).isEqualTo(new FleetReply.Stored());
		for (int repetition = 0; repetition < 2; repetition++) {
			assertThat(reply(call(EVACUATE))).isEqualTo(new FleetReply.Stored());
			assertThat(evacuated()).isTrue();
		}
		assertGauge("east", 1);
		assertGauge("west", 0);
		assertThat(reply(call(WITHDRAW))).isEqualTo(new FleetReply.Stored());
		assertThat(evacuated()).isFalse();
		assertGauge("east", 0);
		assertThat(this.logged).contains("FLEET_ZONE_EVACUATED {zone=east, term=1}")
			.last()
			.isEqualTo("FLEET_EVACUATION_WITHDRAWN {zone=east, term=1}");
	}

	@Test
	public void unknownZoneIsRefusedWithALogLine() throws Exception {
		assertThat(reply(call(new FleetCall.EvacuateZone(new ZoneId("north"))))).isEqualTo(new FleetReply.NoSuchZone());
		assertThat(reply(call(new FleetCall.WithdrawEvacuation(new ZoneId("north")))))
			.isEqualTo(new FleetReply.NoSuchZone());
		assertThat(this.logged).hasSize(2)
			.allMatch((line) -> line.startsWith("FLEET_EVACUATION_REFUSED") && line.contains("UNKNOWN_ZONE"));
	}

	// Guards against an order that takes effect after its sender gave up, against a later
	// one; and against two orders of one turn that are decided on the same state.
	@Test
	public void ordersThatWaitForACommitAreStoredInTheirOrderOrRefusedAsLate() throws Exception {
		for (long waitMillis : List.of(0L, MAX_WAIT_MILLIS + 100)) {
			CompletableFuture<Void> gate = new CompletableFuture<>();
			CompletableFuture<Void> held = new CompletableFuture<>();
			this.log.script = (command) -> {
				this.log.script = this.log::commit;
				held.complete(null);
				return gate.thenCompose((opened) -> this.log.commit(command));
			};
			call(WITHDRAW);
			held.get(5, TimeUnit.SECONDS);
			List<CompletableFuture<FleetReply>> replies = List.of(call(EVACUATE), call(WITHDRAW), call(EVACUATE),
					call(WITHDRAW));
			Thread.sleep(waitMillis);
			gate.complete(null);
			for (CompletableFuture<FleetReply> reply : replies) {
				if (waitMillis == 0) {
					assertThat(reply(reply)).isEqualTo(new FleetReply.Stored());
				}
				else {
					assertThat(reply(reply)).isInstanceOfSatisfying(FleetReply.Refused.class,
							(refused) -> assertThat(refused.problem().kind()).isEqualTo(ProblemKind.UNAVAILABLE));
				}
			}
			assertThat(evacuated()).isFalse();
		}
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
		this.log.commit(undecided.get(5, TimeUnit.SECONDS));
		assertThat(evacuated()).isFalse();
	}

	@Test
	public void replicaThatDoesNotLeadRefersToTheLeader() throws Exception {
		this.log.leading = false;
		assertThat(reply(call(EVACUATE))).isInstanceOf(FleetReply.NotLeading.class);
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
