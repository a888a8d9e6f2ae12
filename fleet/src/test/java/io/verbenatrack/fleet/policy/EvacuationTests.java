package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.HeartbeatResponse;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.model.ZoneId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for evacuations of availability zones: nothing begins in an evacuated zone, what
 * has begun there continues, and jobs are served in other zones.
 */
public class EvacuationTests extends SchedulerFixture {

	private static final ZoneId EAST = new ZoneId("east");

	private static final ZoneId WEST = new ZoneId("west");

	private static final EvacuationSettings SETTINGS = new EvacuationSettings(Set.of(EAST), Duration.ofSeconds(5));

	private HeartbeatResponse reportFrom(ZoneId zone, WorkerIncarnation incarnation, ReportedRun... running) {
		WorkerReport own = Fixtures.report(incarnation, ++this.reports, false, List.of(running), List.of());
		return report(new WorkerReport(incarnation, own.address(), own.service(), zone, "rack-" + zone, own.labels(),
				own.room(), false, own.stayMillis(), own.sequence(), own.running(), own.ended()));
	}

	private void evacuate(ZoneId zone) {
		commit(List.of(new FleetCommand.EvacuateZone(zone)));
	}

	private List<LossCause> causes() {
		return this.scheduler.drainEvents()
			.stream()
			.filter(FleetEvent.RunGivenUp.class::isInstance)
			.map((event) -> ((FleetEvent.RunGivenUp) event).cause())
			.toList();
	}

	@Test
	public void tasksStartInOtherZonesUntilTheEvacuationIsWithdrawn() {
		reportFrom(EAST, ONE);
		evacuate(EAST);
		accept(1, "urgent", Fixtures.plan(Fixtures.step(1, 8, false)));
		assertThat(reportFrom(EAST, ONE).starts()).isEmpty();
		reportFrom(WEST, TWO);
		assertThat(this.state.runsOn(TWO)).hasSize(1);
		accept(2, "batch", Fixtures.plan(Fixtures.step(1, 8, false)));
		assertThat(reportFrom(EAST, ONE).starts()).isEmpty();
		commit(List.of(new FleetCommand.WithdrawEvacuation(EAST)));
		assertThat(reportFrom(EAST, ONE).starts()).hasSize(1);
	}

	// Guards against a start that leaves with the next response after the order.
	@Test
	public void startThatWasNotSentIsWithdrawnWithOneEvent() {
		reportFrom(EAST, ONE);
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		place();
		assertThat(this.state.runsOn(ONE)).hasSize(1);
		evacuate(EAST);
		assertThat(reportFrom(EAST, ONE).starts()).isEmpty();
		assertThat(this.state.runsOn(ONE)).isEmpty();
		assertThat(causes()).containsExactly(LossCause.ZONE_EVACUATED);
		reportFrom(WEST, TWO);
		assertThat(this.state.runsOn(TWO)).hasSize(1);
	}

	@DataProvider
	Object[][] leaders() {
		return new Object[][] { { false }, { true } };
	}

	// Guards against a start whose response was lost and that is sent again, also by the
	// next leader.
	@Test(dataProvider = "leaders")
	public void startThatTheWorkerDoesNotListIsStoppedAndGivenUp(boolean changeOfLeader) {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		assertThat(reportFrom(EAST, ONE).starts()).hasSize(1);
		evacuate(EAST);
		if (changeOfLeader) {
			startNextTerm();
			for (int second = 0; second < 6; second++) {
				this.nowMillis += 1000;
				assertThat(reportFrom(EAST, ONE).starts()).isEmpty();
			}
			this.nowMillis += 500;
		}
		for (int report = 0; report < 3; report++) {
			HeartbeatResponse response = reportFrom(EAST, ONE);
			assertThat(response.starts()).isEmpty();
			assertThat(response.stops()).hasSize((report < 2) ? 1 : 0);
		}
		assertThat(causes()).containsExactly(LossCause.MISSING_IN_REPORTS);
		reportFrom(WEST, TWO);
		assertThat(this.state.runsOn(TWO)).hasSize(1);
	}

	@Test(dataProvider = "leaders")
	public void runThatHasBegunContinues(boolean changeOfLeader) {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		reportFrom(EAST, ONE);
		reportFrom(EAST, ONE, running(1, 0, 1));
		evacuate(EAST);
		if (changeOfLeader) {
			startNextTerm();
		}
		HeartbeatResponse response = reportFrom(EAST, ONE, running(1, 0, 1));
		assertThat(response.stops()).isEmpty();
		assertThat(response.leaseMillis()).isPositive();
	}

	// Guards against members in other zones that wait for one that never begins.
	@Test
	public void gangWithAMemberThatDoesNotBeginStopsAndStartsElsewhere() {
		reportFrom(EAST, ONE);
		reportFrom(WEST, TWO);
		accept(1, "batch", Fixtures.plan(gang()));
		place();
		assertThat(this.state.runsOn(ONE)).hasSize(1);
		reportFrom(EAST, ONE);
		reportFrom(WEST, TWO);
		evacuate(EAST);
		assertThat(
				reportFrom(WEST, TWO, running(1, this.state.runsOn(TWO).keySet().iterator().next().index(), 1)).stops())
			.hasSize(1);
		for (int report = 0; report < 3; report++) {
			reportFrom(EAST, ONE);
			reportFrom(WEST, TWO);
		}
		WorkerIncarnation three = Fixtures.incarnation(3);
		reportFrom(WEST, three);
		assertThat(this.state.runsOn(TWO)).hasSize(1);
		assertThat(this.state.runsOn(three)).hasSize(1);
		assertThat(this.state.runsOn(ONE)).isEmpty();
	}

	private static StepSpec gang() {
		StepSpec step = Fixtures.step(2, 8, true);
		return new StepSpec(2, step.room(), step.estimatedMillis(), List.of(), true, false, Optional.empty(),
				Optional.empty(), 0, false, false, false);
	}

	// Guards against a step that waits for workers on which nothing starts.
	@Test
	public void stepDoesNotWaitForADataRackOfTheZone() {
		StepSpec step = Fixtures.step(1, 1, false);
		accept(1, "batch", Fixtures.plan(new StepSpec(1, step.room(), 5000, List.of(), false, false, Optional.empty(),
				Optional.of("rack-east"), 0, false, false, false)));
		reportFrom(WEST, TWO);
		reportFrom(EAST, Fixtures.incarnation(3));
		commit(List.of(new FleetCommand.CancelJob(Fixtures.job(1))));
		accept(2, "batch", Fixtures.plan(new StepSpec(1, step.room(), 5000, List.of(), false, false, Optional.empty(),
				Optional.of("rack-east"), 0, false, false, false)));
		evacuate(EAST);
		assertThat(reportFrom(WEST, TWO).starts()).hasSize(1);
	}

	@Test
	public void jobsWaitWhileAllZonesAreEvacuated() {
		evacuate(EAST);
		evacuate(WEST);
		accept(1, "urgent", Fixtures.plan(Fixtures.step(1, 1, false)));
		assertThat(reportFrom(EAST, ONE).starts()).isEmpty();
		assertThat(reportFrom(WEST, TWO).starts()).isEmpty();
		commit(List.of(new FleetCommand.WithdrawEvacuation(WEST)));
		assertThat(reportFrom(WEST, TWO).starts()).hasSize(1);
	}

	// Guards against an accepted order that is refused when it is repeated, since the new
	// leader knows no worker of the zone.
	@Test
	public void acceptedOrderIsAcceptedAgainByANewLeader() {
		assertThat(evacuationRefusal(WEST, 0)).contains(EvacuationRefusal.UNKNOWN_ZONE);
		assertThat(evacuationRefusal(EAST, 0)).isEmpty();
		reportFrom(WEST, TWO);
		assertThat(evacuationRefusal(WEST, 0)).isEmpty();
		evacuate(WEST);
		startNextTerm();
		assertThat(evacuationRefusal(WEST, 0)).isEmpty();
		commit(List.of(new FleetCommand.WithdrawEvacuation(WEST)));
		startNextTerm();
		assertThat(this.scheduler.evacuationOrders().withdraw(WEST, SETTINGS, Set.of(), 0)).isEmpty();
	}

	@Test
	public void lateOrderIsRefusedWithAnEvent() {
		assertThat(evacuationRefusal(EAST, 5000)).isEmpty();
		assertThat(evacuationRefusal(EAST, 5001)).contains(EvacuationRefusal.WAITED_TOO_LONG);
		assertThat(this.scheduler.drainEvents())
			.containsExactly(new FleetEvent.EvacuationRefused(EAST, false, EvacuationRefusal.WAITED_TOO_LONG, 5001, 0));
	}

	// Guards against a state that grows with each name that a caller invents.
	@Test
	public void numberOfEvacuatedZonesIsBounded() {
		for (int zone = 0; zone < 63; zone++) {
			evacuate(new ZoneId("zone-" + zone));
		}
		Set<ZoneId> undecided = Set.of(EAST);
		EvacuationOrders orders = this.scheduler.evacuationOrders();
		assertThat(orders.evacuate(WEST, EvacuationSettings.DEFAULT, undecided, 0))
			.contains(EvacuationRefusal.TOO_MANY_ZONES);
		assertThat(orders.evacuate(EAST, EvacuationSettings.DEFAULT, undecided, 0)).isEmpty();
		assertThat(orders.evacuate(new ZoneId("zone-1"), EvacuationSettings.DEFAULT, undecided, 0)).isEmpty();
		for (int zone = 0; zone < 200; zone++) {
			commit(List.of(new FleetCommand.WithdrawEvacuation(new ZoneId("zone-" + zone))));
		}
		assertThat(this.state.evacuations().withdrawn()).hasSize(64);
		assertThat(this.state.evacuations().evacuated()).isEmpty();
	}

	private Optional<EvacuationRefusal> evacuationRefusal(ZoneId zone, long waitedMillis) {
		return this.scheduler.evacuationOrders().evacuate(zone, SETTINGS, Set.of(), waitedMillis);
	}

}
