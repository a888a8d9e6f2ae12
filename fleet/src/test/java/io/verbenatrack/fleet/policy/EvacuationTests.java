package io.verbenatrack.fleet.policy;

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

	private HeartbeatResponse reportFrom(ZoneId zone, WorkerIncarnation incarnation, ReportedRun... running) {
		WorkerReport own = Fixtures.report(incarnation, ++this.reports, false, List.of(running), List.of());
		return report(new WorkerReport(incarnation, own.address(), own.service(), zone, "rack-" + zone, own.labels(),
				own.room(), false, own.stayMillis(), own.sequence(), own.running(), own.ended()));
	}

	private void evacuate(ZoneId zone) {
		commit(List.of(new FleetCommand.EvacuateZone(zone)));
	}

	private void withdraw(ZoneId zone) {
		commit(List.of(new FleetCommand.WithdrawEvacuation(zone)));
	}

	private void accept(int job, int tasks, boolean gang, String dataRack) {
		StepSpec step = Fixtures.step(tasks, gang ? 8 : 1, gang);
		accept(job, "urgent", Fixtures.plan(new StepSpec(tasks, step.room(), 5000, List.of(), gang, false,
				Optional.empty(), Optional.ofNullable(dataRack), 0, false, false, false)));
	}

	// A run that stands still would be moved.
	private ReportedRun progressing() {
		return new ReportedRun(task(1, 1), 1, "", 10 * (int) this.reports);
	}

	private List<LossCause> causes() {
		return this.scheduler.drainEvents()
			.stream()
			.filter(FleetEvent.RunGivenUp.class::isInstance)
			.map((event) -> ((FleetEvent.RunGivenUp) event).cause())
			.toList();
	}

	// Guards against starts in a zone that is evacuated, jobs that are lost while all
	// are, and steps that wait for workers on which nothing starts.
	@Test
	public void tasksStartInZonesThatAreNotEvacuated() {
		reportFrom(EAST, ONE);
		evacuate(EAST);
		evacuate(WEST);
		accept(1, 1, false, "rack-east");
		assertThat(reportFrom(EAST, ONE).starts()).isEmpty();
		assertThat(reportFrom(WEST, TWO).starts()).isEmpty();
		withdraw(WEST);
		assertThat(reportFrom(WEST, TWO).starts()).hasSize(1);
		accept(2, 1, true, null);
		assertThat(reportFrom(EAST, ONE).starts()).isEmpty();
		withdraw(EAST);
		assertThat(reportFrom(EAST, ONE).starts()).hasSize(1);
	}

	// Guards against a start that leaves with the next response after the order.
	@Test
	public void startThatWasNotSentIsWithdrawnWithOneEvent() {
		reportFrom(EAST, ONE);
		accept(1, 1, false, null);
		place();
		assertThat(this.state.runsOn(ONE)).hasSize(1);
		evacuate(EAST);
		assertThat(reportFrom(EAST, ONE).starts()).isEmpty();
		assertThat(this.state.runsOn(ONE)).isEmpty();
		assertThat(causes()).containsExactly(LossCause.ZONE_EVACUATED);
	}

	@DataProvider
	Object[][] leaders() {
		return new Object[][] { { false }, { true } };
	}

	// Guards against a start whose response was lost and that is sent again, also by the
	// next leader, and against a run that is stopped although it has begun.
	@Test(dataProvider = "leaders")
	public void onlyStartsThatTheWorkerDoesNotListAreStoppedAndGivenUp(boolean changeOfLeader) {
		accept(1, 2, false, null);
		assertThat(reportFrom(EAST, ONE).starts()).hasSize(2);
		evacuate(EAST);
		if (changeOfLeader) {
			startNextTerm();
			for (int second = 0; second < 6; second++) {
				this.nowMillis += 1000;
				assertThat(reportFrom(EAST, ONE, progressing()).starts()).isEmpty();
			}
			this.nowMillis += 500;
		}
		for (int report = 0; report < 3; report++) {
			HeartbeatResponse response = reportFrom(EAST, ONE, progressing());
			assertThat(response.starts()).isEmpty();
			assertThat(response.stops()).extracting(HeartbeatResponse.Stop::task)
				.isEqualTo((report < 2) ? List.of(task(1, 0)) : List.of());
		}
		assertThat(causes()).containsExactly(LossCause.MISSING_IN_REPORTS);
		assertThat(this.state.runsOn(ONE)).containsOnlyKeys(task(1, 1));
	}

	// Guards against members in other zones that wait for one that never begins.
	@Test
	public void gangWithAMemberThatDoesNotBeginStopsAndStartsElsewhere() {
		reportFrom(EAST, ONE);
		reportFrom(WEST, TWO);
		accept(1, 2, true, null);
		reportFrom(EAST, ONE);
		reportFrom(WEST, TWO);
		int member = this.state.runsOn(TWO).keySet().iterator().next().index();
		evacuate(EAST);
		assertThat(reportFrom(WEST, TWO, running(1, member, 1)).stops()).hasSize(1);
		for (int report = 0; report < 3; report++) {
			reportFrom(EAST, ONE);
			reportFrom(WEST, TWO);
		}
		WorkerIncarnation three = Fixtures.incarnation(3);
		reportFrom(WEST, three);
		assertThat(this.state.incarnationsInUse()).containsExactlyInAnyOrder(TWO, three);
	}

	// Guards against an accepted order that is refused when it is repeated, since the new
	// leader knows no worker of the zone.
	@Test
	public void acceptedOrderIsAcceptedAgainByANewLeader() {
		EvacuationSettings settings = new EvacuationSettings(Set.of(EAST), EvacuationSettings.DEFAULT.maxWait());
		assertThat(this.scheduler.evacuationOrders().evacuate(WEST, settings, Set.of(), 0))
			.contains(EvacuationRefusal.UNKNOWN_ZONE);
		reportFrom(WEST, TWO);
		assertThat(this.scheduler.evacuationOrders().evacuate(WEST, settings, Set.of(), 0)).isEmpty();
		evacuate(WEST);
		startNextTerm();
		assertThat(this.scheduler.evacuationOrders().evacuate(WEST, settings, Set.of(), 0)).isEmpty();
		withdraw(WEST);
		startNextTerm();
		assertThat(this.scheduler.evacuationOrders().withdraw(WEST, settings, Set.of(), 0)).isEmpty();
	}

	// Guards against a state that grows with each name that a caller invents.
	@Test
	public void numberOfZonesIsBounded() {
		EvacuationOrders orders = this.scheduler.evacuationOrders();
		for (int zone = 0; zone < 63; zone++) {
			evacuate(new ZoneId("zone-" + zone));
		}
		assertThat(orders.evacuate(WEST, EvacuationSettings.DEFAULT, Set.of(EAST), 0))
			.contains(EvacuationRefusal.TOO_MANY_ZONES);
		assertThat(orders.evacuate(EAST, EvacuationSettings.DEFAULT, Set.of(EAST), 0)).isEmpty();
		for (int zone = 0; zone < 200; zone++) {
			withdraw(new ZoneId("zone-" + zone));
		}
		assertThat(this.state.evacuations().withdrawn()).hasSize(64);
	}

}
