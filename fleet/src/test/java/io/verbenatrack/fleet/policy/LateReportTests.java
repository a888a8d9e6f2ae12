package io.verbenatrack.fleet.policy;

import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.HeartbeatResponse;
import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link FleetScheduler} with reports that arrive after their sender has
 * crashed, when the clock of its machine has been set back before the next worker began.
 */
public class LateReportTests extends SchedulerFixture {

	/** An earlier process in the place of the first worker, whose clock was ahead. */
	private static final WorkerIncarnation CRASHED = new WorkerIncarnation(ONE.worker(), 5000);

	private static final WorkerIncarnation CRASHED_AT_ADDRESS = new WorkerIncarnation(Fixtures.incarnation(3).worker(),
			5000);

	private static final long LEASE_ENDED_MILLIS = 7000;

	/** Another incarnation is followed after this silence. */
	private static final long SILENT_MILLIS = 2000;

	@DataProvider
	Object[][] crashed() {
		return new Object[][] { { CRASHED }, { CRASHED_AT_ADDRESS } };
	}

	private HeartbeatResponse reportOfCrashed(WorkerIncarnation crashed, long number, List<ReportedRun> runs,
			ReportedEnd... ends) {
		WorkerReport own = Fixtures.report(ONE, number, false, runs, List.of(ends));
		return report(new WorkerReport(crashed, own.address(), own.service(), own.zone(), own.rack(), own.labels(),
				own.room(), false, own.stayMillis(), number, own.running(), own.ended()));
	}

	private void startRunOfJob(int job) {
		report(ONE, List.of());
		accept(job, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		place();
		assertThat(report(ONE, List.of()).starts()).hasSize(1);
	}

	private static ReportedEnd done(int job) {
		return new ReportedEnd(1, task(job, 0), 1, RunOutcome.DONE, "");
	}

	private void verifyRunKeptAndDoneRecorded(int job) {
		assertThat(report(TWO, List.of()).starts()).isEmpty();
		assertThat(report(ONE, List.of(), done(job)).takenNote()).isEqualTo(1);
		assertThat(this.state.step(task(job, 0)).orElseThrow().done()).isTrue();
	}

	// Guards against TWICE: the runs of a worker started elsewhere under its lease, since
	// a late report of the process before it stated a later start.
	@Test(dataProvider = "crashed")
	public void lateReportOfAnIncarnationThatWasKnownBeforeDisplacesNoWorker(WorkerIncarnation crashed) {
		reportOfCrashed(crashed, 1, List.of());
		this.nowMillis += LEASE_ENDED_MILLIS;
		place();
		startRunOfJob(1);
		assertThat(reportOfCrashed(crashed, 2, List.of()).leaseMillis()).isZero();
		verifyRunKeptAndDoneRecorded(1);
	}

	@DataProvider
	Object[][] lateReports() {
		return new Object[][] { { 1000L, List.of(), new ReportedEnd[0] },
				{ 10L, List.of(running(2, 0, 1)), new ReportedEnd[0] },
				{ 10L, List.of(), new ReportedEnd[] { done(2) } } };
	}

	// Guards against TWICE: the same report reached a new leader before the worker did,
	// and a leader after it acknowledged the end of the run.
	@Test(dataProvider = "lateReports")
	public void lateReportDisplacesNoWorkerWithRunsInANewTerm(long number, List<ReportedRun> runs, ReportedEnd[] ends) {
		startRunOfJob(1);
		startNextTerm();
		assertThat(reportOfCrashed(CRASHED, number, runs, ends).leaseMillis()).isZero();
		verifyRunKeptAndDoneRecorded(1);
	}

	private void startRunsOfBoth() {
		reportOfCrashed(CRASHED, 1, List.of());
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		assertThat(reportOfCrashed(CRASHED, 2, List.of()).starts()).hasSize(1);
		startNextTerm();
		this.nowMillis += SILENT_MILLIS;
		startRunOfJob(2);
	}

	// Guards against TWICE: the late report came from an incarnation whose own runs were
	// not given up yet.
	@Test
	public void lateReportOfAnIncarnationWithRunsDisplacesNoWorkerWithRuns() {
		startRunsOfBoth();
		assertThat(reportOfCrashed(CRASHED, 3, List.of(running(1, 0, 1))).leaseMillis()).isZero();
		verifyRunKeptAndDoneRecorded(2);
	}

	// Guards against TWICE: the same report reached a new leader before the worker did.
	@Test
	public void runsOfTwoIncarnationsAreKeptInANewTermUntilTheirLeasesHaveEnded() {
		startRunsOfBoth();
		startNextTerm();
		reportOfCrashed(CRASHED, 3, List.of(running(1, 0, 1)));
		assertThat(report(TWO, List.of()).starts()).isEmpty();
		assertThat(this.state.runsOn(ONE)).hasSize(1);
		this.nowMillis += LEASE_ENDED_MILLIS;
		assertThat(report(TWO, List.of()).starts()).hasSize(2);
	}

	// Guards against LOST: a task waited for good for a process that had crashed, since
	// the one that followed under the id stated an earlier start.
	@Test
	public void runOfACrashedIncarnationIsLostThoughItsSuccessorStatesAnEarlierStart() {
		startRunsOfBoth();
		List<ReportedRun> runs = List.of(running(2, 0, 1));
		report(ONE, runs);
		this.nowMillis += LEASE_ENDED_MILLIS - SILENT_MILLIS - 1000;
		report(ONE, runs);
		assertThat(this.state.runsOn(CRASHED)).hasSize(1);
		this.nowMillis += 1000;
		report(ONE, runs);
		assertThat(this.state.runsOn(CRASHED)).isEmpty();
		assertThat(this.state.runsOn(ONE)).hasSize(1);
		assertThat(report(TWO, List.of()).starts()).extracting(HeartbeatResponse.Start::task)
			.containsExactly(task(1, 0));
	}

}
