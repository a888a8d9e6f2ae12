package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.FleetConfiguration;
import io.verbenatrack.fleet.model.HeartbeatResponse;
import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.model.ServiceId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link FleetScheduler} with reports that no worker, or another writer, sent.
 */
public class OddReportTests extends SchedulerFixture {

	@DataProvider
	Object[][] tasksOutOfRange() {
		return new Object[][] { { new TaskId(Fixtures.job(1), -1, 0, 0) }, { new TaskId(Fixtures.job(1), 1, 0, 0) },
				{ new TaskId(Fixtures.job(1), 0, -1, 0) }, { new TaskId(Fixtures.job(1), 0, 1, 0) },
				{ new TaskId(Fixtures.job(1), 0, 0, -1) }, { new TaskId(Fixtures.job(1), 0, 0, 8) } };
	}

	// Guards against an entry whose rows name a task out of range: it ended each turn of
	// the leader that decided on it.
	@Test(dataProvider = "tasksOutOfRange")
	public void rowThatNamesATaskOutOfRangeIsIgnored(TaskId odd) {
		accept(1, "batch", Fixtures.plan(Fixtures.step(8, 1, false)));
		report(ONE, List.of());
		List<ReportedRun> runs = new ArrayList<>();
		this.state.runsOn(ONE).forEach((task, run) -> runs.add(new ReportedRun(task, run, "", 10)));
		runs.add(new ReportedRun(odd, 1, "", 10));
		accept(2, "urgent", Fixtures.plan(Fixtures.step(1, 8, true)));
		report(ONE, runs, new ReportedEnd(1, odd, 1, RunOutcome.DONE, ""));
		this.nowMillis += 600;
		HeartbeatResponse response = report(ONE, runs, new ReportedEnd(1, odd, 1, RunOutcome.DONE, ""));
		assertThat(response.leaseMillis()).isPositive();
		assertThat(response.stops()).contains(new HeartbeatResponse.Stop(odd, 1));
		report(TWO, List.of(new ReportedRun(odd, 1, "", 10)), new ReportedEnd(1, odd, 1, RunOutcome.FAILED, ""));
	}

	private static WorkerReport reportAt(String address, WorkerIncarnation life, long number,
			List<ReportedRun> running) {
		WorkerReport report = Fixtures.report(life, number, false, running, List.of());
		return new WorkerReport(life, address, report.service(), report.zone(), report.rack(), report.labels(),
				report.room(), false, report.stayMillis(), number, running, List.of());
	}

	// Guards against TWICE: a copy of an entry with a later start made the true worker
	// outdated, and its runs started elsewhere while it still ran them.
	@Test
	public void copyOfAnEntryWithALaterStartDisplacesNoWorkerThatHoldsALease() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		List<ReportedRun> runs = List.of(running(1, 0, 1));
		report(ONE, runs);
		WorkerIncarnation later = new WorkerIncarnation(ONE.worker(), 5000);
		WorkerIncarnation otherName = new WorkerIncarnation(Fixtures.incarnation(3).worker(), 5000);
		String address = Fixtures.report(ONE, 1, false, runs, List.of()).address();
		for (int report = 0; report < 50; report++) {
			this.nowMillis += 200;
			assertThat(report(reportAt(address, later, 1000 + report, runs)).leaseMillis()).isZero();
			assertThat(report(reportAt(address, otherName, 1000 + report, runs)).leaseMillis()).isZero();
			assertThat(report(reportAt(address, later, 1000 + report, List.of())).leaseMillis()).isZero();
			assertThat(report(reportAt(address, otherName, report, runs)).leaseMillis()).isZero();
			assertThat(report(ONE, runs).leaseMillis()).as("after %d ms", this.nowMillis).isPositive();
			assertThat(report(TWO, List.of()).starts()).as("after %d ms", this.nowMillis).isEmpty();
		}
		assertThat(this.state.runsOn(ONE)).hasSize(1);
	}

	// Guards against TWICE: a known worker that names the address of another one made
	// the other one outdated.
	@Test
	public void workerThatNamesTheAddressOfAnotherOneDoesNotDisplaceIt() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		List<ReportedRun> runs = List.of(running(1, 0, 1));
		WorkerIncarnation younger = new WorkerIncarnation(TWO.worker(), 5000);
		report(reportAt("worker-2:80", younger, 1, List.of()));
		String address = Fixtures.report(ONE, 1, false, runs, List.of()).address();
		assertThat(report(reportAt(address, younger, 2, List.of())).leaseMillis()).isZero();
		assertThat(report(ONE, runs).leaseMillis()).isPositive();
		assertThat(this.state.runsOn(ONE)).hasSize(1);
		assertThat(report(reportAt("worker-2:80", younger, 3, List.of())).leaseMillis()).isPositive();
	}

	// Guards against runs that start on the old worker of an address, where they are lost
	// again at once.
	@Test
	public void newWorkerAtTheAddressOfAnotherOneMakesItsRunsLost() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		report(ONE, List.of(running(1, 0, 1)));
		this.nowMillis += 2000;
		WorkerIncarnation successor = new WorkerIncarnation(TWO.worker(), 5000);
		reportAtAddressOfOne(successor, 1, List.of());
		accept(2, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		place();
		assertThat(reportAtAddressOfOne(successor, 2, List.of()).starts()).extracting(HeartbeatResponse.Start::task)
			.containsExactly(task(2, 0));
		assertThat(reportAtAddressOfOne(successor, 3, List.of(running(2, 0, 1))).starts())
			.containsExactly(new HeartbeatResponse.Start(task(1, 0), 2, "payload", ""));
	}

	@Test
	public void entryThatListsForeignRunsIsFollowedOnceTheLeaseOfTheKnownWorkerHasEnded() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		List<ReportedRun> runs = List.of(running(1, 0, 1));
		WorkerIncarnation later = new WorkerIncarnation(ONE.worker(), 5000);
		String address = Fixtures.report(ONE, 1, false, runs, List.of()).address();
		this.nowMillis += 6000;
		assertThat(report(reportAt(address, later, 1, runs)).leaseMillis()).isZero();
		this.nowMillis += 600;
		assertThat(report(reportAt(address, later, 2, runs)).leaseMillis()).isPositive();
	}

	@Test
	public void newLeaderFollowsAnIncarnationWithRunsDespiteALateReportOfAnEarlierOne() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		WorkerIncarnation later = new WorkerIncarnation(ONE.worker(), 5000);
		report(Fixtures.report(later, 1, false, List.of(), List.of()));
		startNextTerm();
		report(ONE, List.of());
		assertThat(report(Fixtures.report(later, 1000, false, List.of(running(1, 0, 1)), List.of())).leaseMillis())
			.isPositive();
	}

	private static WorkerReport reportForService(String service, WorkerIncarnation life, String address, long number,
			List<ReportedRun> running) {
		WorkerReport report = reportAt(address, life, number, running);
		return new WorkerReport(life, address, new ServiceId(service), report.zone(), report.rack(), report.labels(),
				report.room(), false, report.stayMillis(), number, running, List.of());
	}

	@DataProvider
	Object[][] foreignIncarnations() {
		return new Object[][] { { new WorkerIncarnation(ONE.worker(), 5000) },
				{ new WorkerIncarnation(Fixtures.incarnation(3).worker(), 5000) } };
	}

	// Guards against TWICE: a report for a service that no configuration names, under the
	// id or the address of a worker, made its runs start elsewhere under its lease.
	@Test(dataProvider = "foreignIncarnations")
	public void reportForAnUnknownServiceDisplacesNoWorker(WorkerIncarnation foreign) {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		List<ReportedRun> runs = List.of(running(1, 0, 1));
		report(ONE, runs);
		report(TWO, List.of());
		String address = Fixtures.report(ONE, 1, false, runs, List.of()).address();
		assertThat(report(reportForService("another", foreign, address, 1, List.of())).leaseMillis()).isZero();
		assertThat(report(TWO, List.of()).starts()).isEmpty();
		assertThat(this.state.runsOn(ONE)).hasSize(1);
		assertThat(report(ONE, runs).leaseMillis()).isPositive();
	}

	// Guards against TWICE: a report that looks like that of a new worker, under the id
	// or
	// the address of one at work, made its runs start elsewhere under its lease.
	@Test(dataProvider = "foreignIncarnations")
	public void freshReportDisplacesNoWorkerThatReports(WorkerIncarnation foreign) {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		List<ReportedRun> runs = List.of(running(1, 0, 1));
		report(ONE, runs);
		for (int claim = 1; claim <= 5; claim++) {
			this.nowMillis += 200;
			assertThat(reportAtAddressOfOne(foreign, claim, List.of()).leaseMillis()).isZero();
			assertThat(report(TWO, List.of()).starts()).isEmpty();
			assertThat(report(ONE, runs).leaseMillis()).isPositive();
		}
		assertThat(this.state.runsOn(ONE)).hasSize(1);
	}

	// Guards against TWICE: the same report reached a new leader before the true worker
	// did.
	@Test
	public void freshReportUnderTheIdOfAWorkerDisplacesItNotInANewTerm() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		report(ONE, List.of(running(1, 0, 1)));
		startNextTerm();
		WorkerIncarnation foreign = new WorkerIncarnation(ONE.worker(), 5000);
		assertThat(reportAtAddressOfOne(foreign, 1, List.of()).leaseMillis()).isZero();
		assertThat(report(TWO, List.of()).starts()).isEmpty();
		assertThat(report(ONE, List.of(running(1, 0, 1))).leaseMillis()).isPositive();
	}

	// Guards against TWICE: the same report at the address of a worker that was cut off
	// and worked on.
	@Test(dataProvider = "foreignIncarnations")
	public void freshReportEndsNoRunOfASilentWorkerUnderItsLease(WorkerIncarnation foreign) {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		report(ONE, List.of(running(1, 0, 1)));
		this.nowMillis += 3000;
		assertThat(reportAtAddressOfOne(foreign, 1, List.of()).leaseMillis()).isPositive();
		this.nowMillis += 3000;
		assertThat(report(TWO, List.of()).starts()).isEmpty();
		assertThat(this.state.runsOn(ONE)).hasSize(1);
		this.nowMillis += 1000;
		report(TWO, List.of());
		assertThat(this.state.runsOn(ONE)).isEmpty();
	}

	// Guards against TWICE: the same report reached a new leader before the true worker
	// did, which lists the end of the run after its task has started elsewhere.
	@Test(dataProvider = "foreignIncarnations")
	public void reportForAnUnknownServiceDisplacesNoWorkerInANewTerm(WorkerIncarnation foreign) {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		report(ONE, List.of(running(1, 0, 1)));
		startNextTerm();
		String address = Fixtures.report(ONE, 1, false, List.of(), List.of()).address();
		report(reportForService("another", foreign, address, 1, List.of()));
		assertThat(report(TWO, List.of()).starts()).isEmpty();
		HeartbeatResponse response = report(ONE, List.of(), new ReportedEnd(1, task(1, 0), 1, RunOutcome.DONE, ""));
		assertThat(response.takenNote()).isEqualTo(1);
		assertThat(this.state.step(task(1, 0)).orElseThrow().done()).isTrue();
	}

	@DataProvider
	Object[][] foreignCopies() {
		ReportedEnd failed = new ReportedEnd(1, task(1, 0), 1, RunOutcome.FAILED, "");
		return new Object[][] { { 1, false, List.of() }, { 30, false, List.of() }, { 1, true, List.of() },
				{ 1, false, List.of(failed) } };
	}

	// Guards against TWICE: a copy of a report with another service drained the worker,
	// made it outdated, or ended its runs, which started elsewhere.
	@Test(dataProvider = "foreignCopies")
	public void copyOfAReportForAnUnknownServiceChangesNothing(long advance, boolean draining,
			List<ReportedEnd> ended) {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		List<ReportedRun> runs = List.of(running(1, 0, 1));
		report(ONE, runs);
		WorkerReport own = Fixtures.report(ONE, this.reports, draining, List.of(), ended);
		for (int copy = 0; copy < 3; copy++) {
			WorkerReport foreign = new WorkerReport(ONE, own.address(), new ServiceId("another"), own.zone(),
					own.rack(), own.labels(), own.room(), draining, own.stayMillis(), this.reports + advance + copy,
					List.of(), ended);
			HeartbeatResponse response = report(foreign);
			assertThat(response.leaseMillis()).isZero();
			assertThat(response.takenNote()).isZero();
		}
		assertThat(report(TWO, List.of()).starts()).isEmpty();
		assertThat(this.state.runsOn(ONE)).hasSize(1);
		assertThat(report(ONE, runs).leaseMillis()).isPositive();
	}

	// Guards against ends that are never acknowledged once their service is removed.
	@Test
	public void workerWhoseServiceIsRemovedKeepsReportingItsRuns() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		List<ReportedRun> runs = List.of(running(1, 0, 1));
		report(ONE, runs);
		FleetConfiguration full = Fixtures.configuration(2);
		commit(List.of(new FleetCommand.AdoptConfiguration(
				new FleetConfiguration(2, List.of(), List.of(), full.limits(), full.accounts()), new byte[0])));
		assertThat(report(ONE, runs).leaseMillis()).isPositive();
		ReportedEnd end = new ReportedEnd(1, task(1, 0), 1, RunOutcome.DONE, "");
		assertThat(report(ONE, List.of(), end).takenNote()).isEqualTo(1);
		assertThat(report(ONE, List.of(), end).takenNote()).isEqualTo(1);
		assertThat(this.state.step(task(1, 0)).orElseThrow().done()).isTrue();
	}

	// Guards against a sequence number of another writer that makes each later report of
	// the true worker outdated.
	@Test
	public void sequenceNumberThatJumpsDoesNotMakeTheTrueWorkerOutdated() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		List<ReportedRun> runs = List.of(running(1, 0, 1));
		for (long odd : new long[] { Long.MAX_VALUE, Long.MAX_VALUE - 1, 1L << 40, 1_000_000 }) {
			this.nowMillis += 200;
			assertThat(report(Fixtures.report(ONE, odd, false, runs, List.of())).leaseMillis()).isZero();
			assertThat(report(ONE, runs).leaseMillis()).as("after %d", odd).isPositive();
		}
		this.nowMillis += 5000;
		this.reports += 500;
		assertThat(report(ONE, runs).leaseMillis()).isPositive();
	}

}
