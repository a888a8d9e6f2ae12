package io.verbenatrack.fleet.policy;

import java.util.List;
import java.util.Optional;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.HeartbeatResponse;
import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.model.ServiceId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the events of {@link FleetScheduler} tell why a run was given up, and which
 * end or report was ignored.
 */
public class GivenUpRunTests extends SchedulerFixture {

	private static final WorkerIncarnation LATER = new WorkerIncarnation(ONE.worker(), 5000);

	private <T extends FleetEvent> List<T> events(Class<T> kind) {
		return this.scheduler.drainEvents().stream().filter(kind::isInstance).map(kind::cast).toList();
	}

	private void startRun() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		report(ONE, List.of(running(1, 0, 1)));
	}

	private FleetEvent.RunGivenUp givenUp(LossCause cause, long silentMillis) {
		return new FleetEvent.RunGivenUp(task(1, 0), 1, ONE, cause, silentMillis);
	}

	@Test
	public void expiredLeaseIsTheCause() {
		startRun();
		this.nowMillis += 7000;
		place();
		assertThat(events(FleetEvent.RunGivenUp.class)).containsExactly(givenUp(LossCause.LEASE_EXPIRED, 7000));
	}

	@Test
	public void expiredLeaseOfAnEarlierTermIsTheCause() {
		startRun();
		startNextTerm();
		this.nowMillis += 7000;
		place();
		assertThat(events(FleetEvent.RunGivenUp.class))
			.containsExactly(givenUp(LossCause.INHERITED_LEASE_EXPIRED, 7000));
	}

	// Replaces worker 1 by an incarnation that carries out a start.
	private void replaceBy(WorkerIncarnation successor) {
		startRun();
		this.nowMillis += 2000;
		reportAtAddressOfOne(successor, 1, List.of());
		accept(2, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		place();
		assertThat(reportAtAddressOfOne(successor, 2, List.of()).starts()).hasSize(1);
		assertThat(events(FleetEvent.RunGivenUp.class)).isEmpty();
		reportAtAddressOfOne(successor, 3, List.of(running(2, 0, 1)));
	}

	@Test
	public void newerIncarnationIsTheCause() {
		replaceBy(LATER);
		assertThat(events(FleetEvent.RunGivenUp.class)).extracting(FleetEvent.RunGivenUp::cause)
			.containsExactly(LossCause.NEWER_INCARNATION);
		report(ONE, List.of(running(1, 0, 1)));
		assertThat(events(FleetEvent.ReportIgnored.class)).extracting(FleetEvent.ReportIgnored::reason)
			.containsExactly(IgnoreReason.EARLIER_INCARNATION);
	}

	@Test
	public void newerWorkerAtTheSameAddressIsTheCause() {
		replaceBy(new WorkerIncarnation(TWO.worker(), 5000));
		assertThat(events(FleetEvent.RunGivenUp.class)).extracting(FleetEvent.RunGivenUp::cause)
			.containsExactly(LossCause.ADDRESS_REUSED);
		report(ONE, List.of(running(1, 0, 1)));
		assertThat(events(FleetEvent.ReportIgnored.class)).extracting(FleetEvent.ReportIgnored::reason)
			.containsExactly(IgnoreReason.ADDRESS_REUSED);
	}

	// Guards against TWICE: a late report of an earlier incarnation, or an entry of
	// another writer, ended the runs of a worker under its lease.
	@Test
	public void successorThatCarriesOutNothingEndsNoRunUnderItsLease() {
		startRun();
		this.nowMillis += 2000;
		reportAtAddressOfOne(LATER, 1, List.of());
		this.nowMillis += 4000;
		reportAtAddressOfOne(LATER, 2, List.of());
		assertThat(events(FleetEvent.RunGivenUp.class)).isEmpty();
		this.nowMillis += 1000;
		reportAtAddressOfOne(LATER, 3, List.of());
		assertThat(events(FleetEvent.RunGivenUp.class)).extracting(FleetEvent.RunGivenUp::cause)
			.containsExactly(LossCause.LEASE_EXPIRED);
	}

	@Test
	public void startThatWasNeverSentIsTheCause() {
		report(ONE, List.of());
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		place();
		this.nowMillis += 3000;
		place();
		assertThat(events(FleetEvent.RunGivenUp.class)).containsExactly(givenUp(LossCause.START_NOT_SENT, 3000));
	}

	// Guards against an acknowledged end that leaves no line, or one with each listing.
	@Test
	public void doneEndOfAGivenUpRunIsReportedAsIgnored() {
		startRun();
		this.nowMillis += 7000;
		report(TWO, List.of());
		this.scheduler.drainEvents();
		ReportedEnd end = new ReportedEnd(3, task(1, 0), 1, RunOutcome.DONE, "");
		assertThat(report(ONE, List.of(), end).takenNote()).isEqualTo(3);
		assertThat(events(FleetEvent.EndIgnored.class))
			.containsExactly(new FleetEvent.EndIgnored(ONE, end, 2, Optional.of(TWO)));
		report(ONE, List.of(), end);
		assertThat(events(FleetEvent.EndIgnored.class)).isEmpty();
		ReportedEnd recorded = new ReportedEnd(1, task(1, 0), 2, RunOutcome.DONE, "");
		report(TWO, List.of(), recorded);
		report(TWO, List.of(), recorded);
		assertThat(events(FleetEvent.EndIgnored.class)).isEmpty();
	}

	// Guards against a task that starts again with the response that acknowledges its
	// done end, since its run was taken for lost before.
	@Test(dataProvider = "gangs")
	public void doneEndOfAGivenUpRunEndsTheTaskThatWaits(boolean gang) {
		accept(1, "batch", Fixtures.plan(Fixtures.step(2, 4, gang)));
		report(ONE, List.of());
		report(ONE, List.of(running(1, 0, 1), running(1, 1, 1)));
		this.nowMillis += 7000;
		place();
		assertThat(this.state.runsOn(ONE)).isEmpty();
		HeartbeatResponse response = report(ONE, List.of(), new ReportedEnd(1, task(1, 0), 1, RunOutcome.DONE, ""),
				new ReportedEnd(2, task(1, 1), 1, RunOutcome.DONE, ""));
		assertThat(response.takenNote()).isEqualTo(2);
		assertThat(response.starts()).isEmpty();
		assertThat(this.state.step(task(1, 0)).orElseThrow().done()).isTrue();
	}

	@DataProvider
	Object[][] gangs() {
		return new Object[][] { { false }, { true } };
	}

	// Guards against a line for each report while the first configuration is awaited.
	@Test
	public void reportsBeforeTheFirstConfigurationLeaveNoEvent() {
		this.state = new FleetState();
		startNextTerm();
		assertThat(report(ONE, List.of()).leaseMillis()).isZero();
		assertThat(this.scheduler.drainEvents()).isEmpty();
	}

	@Test
	public void runThatReportsLackIsTheCause() {
		startRun();
		commit(List.of(new FleetCommand.CancelJob(Fixtures.job(1))));
		for (int report = 0; report < 3; report++) {
			report(ONE, List.of());
		}
		assertThat(events(FleetEvent.RunGivenUp.class)).extracting(FleetEvent.RunGivenUp::cause)
			.containsExactly(LossCause.MISSING_IN_REPORTS);
	}

	@Test
	public void reportThatClaimsAHeldPlaceIsIgnored() {
		startRun();
		report(Fixtures.report(LATER, 1000, false, List.of(running(1, 0, 1)), List.of()));
		assertThat(events(FleetEvent.ReportIgnored.class)).extracting(FleetEvent.ReportIgnored::reason)
			.containsExactly(IgnoreReason.PLACE_HELD);
	}

	@Test
	public void reportForAnUnknownServiceIsIgnored() {
		WorkerReport own = Fixtures.report(ONE, 1, false, List.of(), List.of());
		report(new WorkerReport(ONE, own.address(), new ServiceId("another"), own.zone(), own.rack(), own.labels(),
				own.room(), false, own.stayMillis(), 1, List.of(), List.of()));
		assertThat(events(FleetEvent.ReportIgnored.class)).extracting(FleetEvent.ReportIgnored::reason)
			.containsExactly(IgnoreReason.UNKNOWN_SERVICE);
	}

	@Test
	public void lateReportIsIgnoredAsOutdated() {
		startRun();
		report(Fixtures.report(ONE, 1, false, List.of(), List.of()));
		assertThat(events(FleetEvent.ReportIgnored.class)).extracting(FleetEvent.ReportIgnored::reason)
			.containsExactly(IgnoreReason.OUTDATED);
	}

}
