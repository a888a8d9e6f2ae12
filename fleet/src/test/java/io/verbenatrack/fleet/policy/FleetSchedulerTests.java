package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.HeartbeatResponse;
import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.fleet.state.FleetCommand;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link FleetScheduler}: the instructions that workers must get and those that
 * they must not get.
 */
public class FleetSchedulerTests extends SchedulerFixture {

	@Test
	public void startIsRepeatedUntilTheWorkerReportsTheRun() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		assertThat(report(ONE, List.of()).starts()).extracting(HeartbeatResponse.Start::run).containsExactly(1);
		assertThat(report(ONE, List.of()).starts()).extracting(HeartbeatResponse.Start::run).containsExactly(1);
		assertThat(report(ONE, List.of(running(1, 0, 1))).starts()).isEmpty();
	}

	@Test
	public void endIsAcknowledgedOnceRecorded() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		HeartbeatResponse response = report(ONE, List.of(), new ReportedEnd(7, task(1, 0), 1, RunOutcome.DONE, ""));
		assertThat(response.takenNote()).isEqualTo(7);
		assertThat(this.state.unfinishedJobs()).isEmpty();
		assertThat(response.starts()).isEmpty();
	}

	@Test
	public void outdatedReportGetsNoLeaseAndNoStarts() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		WorkerReport late = Fixtures.report(ONE, 0, false, List.of(), List.of());
		assertThat(this.scheduler.receiveReport(late, time())).isEmpty();
		HeartbeatResponse response = this.scheduler.respond(late);
		assertThat(response.leaseMillis()).isZero();
		assertThat(response.starts()).isEmpty();
	}

	@Test
	public void reportOfAnEarlierIncarnationIsIgnored() {
		report(Fixtures.report(new WorkerIncarnation(ONE.worker(), 9), 1, false, List.of(), List.of()));
		assertThat(this.scheduler.receiveReport(Fixtures.report(ONE, 99, false, List.of(), List.of()), time()))
			.isEmpty();
	}

	@Test
	public void newIncarnationMakesTheRunsOfThePreviousOneLost() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		this.nowMillis += 2000;
		WorkerIncarnation restarted = new WorkerIncarnation(ONE.worker(), 9);
		reportAtAddressOfOne(restarted, 1, List.of());
		accept(2, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		place();
		assertThat(reportAtAddressOfOne(restarted, 2, List.of()).starts()).extracting(HeartbeatResponse.Start::task)
			.containsExactly(task(2, 0));
		assertThat(reportAtAddressOfOne(restarted, 3, List.of(running(2, 0, 1))).starts())
			.extracting(HeartbeatResponse.Start::run)
			.containsExactly(2);
	}

	@Test
	public void runOfASilentWorkerRestartsElsewhereOnlyAfterItsLeaseExpires() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		for (int report = 0; report < 31; report++) {
			this.nowMillis += 200;
			assertThat(report(TWO, List.of()).starts()).as("after %d ms", this.nowMillis).isEmpty();
		}
		this.nowMillis += 400;
		assertThat(report(TWO, List.of()).starts()).extracting(HeartbeatResponse.Start::run).containsExactly(2);
	}

	@Test
	public void newLeaderWaitsForLeasesGrantedByThePreviousLeader() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		this.nowMillis += 5900;
		startNextTerm();
		this.nowMillis += 6000;
		assertThat(report(TWO, List.of()).starts()).isEmpty();
		this.nowMillis += 500;
		assertThat(report(TWO, List.of()).starts()).hasSize(1);
	}

	@Test
	public void newLeaderRepeatsAStartThatMayNotHaveBeenSent() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		startNextTerm();
		HeartbeatResponse response = report(ONE, List.of());
		assertThat(response.starts()).extracting(HeartbeatResponse.Start::run).containsExactly(1);
		assertThat(response.fence()).isEqualTo(2);
	}

	@Test
	public void drainingWorkerGetsNoNewTasks() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		assertThat(report(Fixtures.report(ONE, 1, true, List.of(), List.of())).starts()).isEmpty();
		assertThat(report(Fixtures.report(ONE, 2, false, List.of(), List.of())).starts()).hasSize(1);
	}

	@Test
	public void startThatHasNotArrivedIsWithdrawnFromADrainingWorker() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		HeartbeatResponse response = report(Fixtures.report(ONE, ++this.reports, true, List.of(), List.of()));
		assertThat(response.starts()).isEmpty();
		assertThat(response.stops()).hasSize(1);
		report(Fixtures.report(ONE, ++this.reports, true, List.of(), List.of()));
		report(Fixtures.report(ONE, ++this.reports, true, List.of(), List.of()));
		assertThat(report(TWO, List.of()).starts()).extracting(HeartbeatResponse.Start::run).containsExactly(2);
	}

	@Test
	public void runOfACancelledJobIsStoppedUntilItsEndIsReported() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		report(ONE, List.of(running(1, 0, 1)));
		commit(List.of(new FleetCommand.CancelJob(Fixtures.job(1))));
		assertThat(report(ONE, List.of(running(1, 0, 1))).stops()).hasSize(1);
		assertThat(report(ONE, List.of(), new ReportedEnd(1, task(1, 0), 1, RunOutcome.STOPPED, "")).stops()).isEmpty();
	}

	@Test
	public void runUnknownToTheStateIsStopped() {
		assertThat(report(ONE, List.of(running(9, 0, 1))).stops())
			.containsExactly(new HeartbeatResponse.Stop(task(9, 0), 1));
	}

	@Test
	public void gangStartsOnlyAsAWhole() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(2, 8, true)));
		assertThat(report(ONE, List.of()).starts()).isEmpty();
		report(TWO, List.of());
		assertThat(report(TWO, List.of()).starts()).hasSize(1);
		assertThat(report(ONE, List.of()).starts()).hasSize(1);
	}

	@Test
	public void gangThatLostAMemberIsStoppedAsAWhole() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(2, 8, true)));
		report(ONE, List.of());
		report(TWO, List.of());
		report(ONE, List.of(running(1, 0, 1)));
		report(TWO, List.of(running(1, 1, 1)));
		TaskId first = this.state.runsOn(ONE).keySet().iterator().next();
		report(ONE, List.of(), new ReportedEnd(1, first, 1, RunOutcome.REFUSED, ""));
		TaskId second = this.state.runsOn(TWO).keySet().iterator().next();
		HeartbeatResponse response = report(TWO, List.of(new ReportedRun(second, 1, "", 10)));
		assertThat(response.stops()).containsExactly(new HeartbeatResponse.Stop(second, 1));
	}

	@Test
	public void guaranteedJobPreemptsWorkOfLowerPriority() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(8, 1, false)));
		report(ONE, List.of());
		List<ReportedRun> runs = new ArrayList<>();
		this.state.runsOn(ONE).forEach((task, run) -> runs.add(new ReportedRun(task, run, "", 10)));
		accept(2, "urgent", Fixtures.plan(Fixtures.step(1, 8, true)));
		assertThat(report(ONE, runs).stops()).isEmpty();
		this.nowMillis += 600;
		assertThat(report(ONE, runs).stops()).hasSize(8);
	}

	@Test
	public void jobBeyondTheGuaranteeDoesNotPreemptNearlyFinishedWork() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(8, 1, false)));
		report(ONE, List.of());
		List<ReportedRun> runs = new ArrayList<>();
		this.state.runsOn(ONE).forEach((task, run) -> runs.add(new ReportedRun(task, run, "", 90)));
		accept(2, "urgent", Fixtures.plan(Fixtures.step(3, 8, true)));
		this.nowMillis += 600;
		assertThat(report(ONE, runs).stops()).isEmpty();
	}

	@Test
	public void workerOnWhichTwoJobsFailedGetsNoTasksUntilTheSuspicionExpires() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		accept(2, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		report(ONE, List.of(), new ReportedEnd(1, task(1, 0), 1, RunOutcome.FAILED, ""),
				new ReportedEnd(2, task(2, 0), 1, RunOutcome.FAILED, ""));
		accept(3, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		assertThat(report(ONE, List.of()).starts()).isEmpty();
		this.nowMillis += 6500;
		assertThat(report(ONE, List.of()).starts()).isNotEmpty();
	}

	@Test
	public void runOfADeregisteredWorkerRestartsElsewhereOnlyAfterItsLeaseExpires() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		report(ONE, List.of(running(1, 0, 1)));
		this.scheduler.markWorkerLeft(ONE.worker());
		this.nowMillis += 6000;
		assertThat(report(TWO, List.of()).starts()).isEmpty();
		this.nowMillis += 600;
		assertThat(report(TWO, List.of()).starts()).extracting(HeartbeatResponse.Start::run).containsExactly(2);
	}

	@Test
	public void drainingWorkerStopsOnlyRunsThatOutliveIt() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(2, 1, false)));
		report(ONE, List.of());
		ReportedRun nearlyDone = new ReportedRun(task(1, 0), 1, "", 90);
		ReportedRun justBegun = new ReportedRun(task(1, 1), 1, "", 10);
		HeartbeatResponse response = report(
				Fixtures.report(ONE, ++this.reports, true, List.of(nearlyDone, justBegun), List.of()));
		assertThat(response.stops()).containsExactly(new HeartbeatResponse.Stop(task(1, 1), 1));
	}

	private static ReportedRun runAt(int index, int percent) {
		return new ReportedRun(task(1, index), 1, "", percent);
	}

	@Test
	public void stalledRunRestartsOnAnotherWorker() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		for (int report = 0; report < 5; report++) {
			assertThat(report(ONE, List.of(runAt(0, 20))).stops()).as("after %d ms", this.nowMillis).isEmpty();
			this.nowMillis += 250;
		}
		assertThat(report(ONE, List.of(runAt(0, 20))).stops())
			.containsExactly(new HeartbeatResponse.Stop(task(1, 0), 1));
		report(ONE, List.of(), new ReportedEnd(1, task(1, 0), 1, RunOutcome.STOPPED, ""));
		assertThat(this.state.runsOn(ONE)).isEmpty();
		assertThat(report(TWO, List.of()).starts()).extracting(HeartbeatResponse.Start::run).containsExactly(2);
	}

	@Test
	public void runThatMakesProgressIsNotMoved() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		for (int percent = 20; percent < 60; percent++) {
			assertThat(report(ONE, List.of(runAt(0, percent))).stops()).isEmpty();
			this.nowMillis += 250;
		}
	}

	@Test
	public void taskThatStallsOnEveryWorkerIsMovedOnlyTwice() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		int moves = 0;
		for (int round = 0; round < 200; round++) {
			for (WorkerIncarnation incarnation : List.of(ONE, TWO)) {
				List<ReportedRun> running = new ArrayList<>();
				this.state.runsOn(incarnation).forEach((task, run) -> running.add(new ReportedRun(task, run, "", 0)));
				for (HeartbeatResponse.Stop stop : report(incarnation, running).stops()) {
					moves++;
					report(incarnation, List.of(),
							new ReportedEnd(moves, stop.task(), stop.run(), RunOutcome.STOPPED, ""));
				}
			}
			this.nowMillis += 200;
		}
		assertThat(moves).isEqualTo(2);
	}

	@Test
	public void unsentStartIsWithdrawnFromASilentWorker() {
		report(ONE, List.of());
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		place();
		assertThat(this.state.runsOn(ONE)).hasSize(1);
		this.nowMillis += 1300;
		assertThat(report(TWO, List.of()).starts()).extracting(HeartbeatResponse.Start::run).containsExactly(2);
	}

	// Guards against a sum of accelerators that overflows, so that an account beyond its
	// guarantee preempts the work of others.
	@Test
	public void accountFarBeyondItsGuaranteeIsNotGuaranteed() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(8, 1, false)));
		report(ONE, List.of());
		List<ReportedRun> runs = new ArrayList<>();
		this.state.runsOn(ONE).forEach((task, run) -> runs.add(new ReportedRun(task, run, "", 90)));
		for (int job = 2; job < 16; job++) {
			accept(job, "urgent", Fixtures.plan(Fixtures.step(20_000, 10_000, false)));
		}
		accept(16, "urgent", Fixtures.plan(Fixtures.step(1, 8, true)));
		this.nowMillis += 600;
		assertThat(report(ONE, runs).stops()).isEmpty();
	}

	// Guards against a second run of a task whose done end was beyond a full list of
	// ends.
	@Test
	public void runWhoseEndMayBeBeyondAFullListIsNotLost() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		report(ONE, List.of(running(1, 0, 1)));
		long listed = 0;
		for (int report = 0; report < 4; report++) {
			List<ReportedEnd> ends = new ArrayList<>();
			while (ends.size() < 500) {
				ends.add(new ReportedEnd(++listed, task(9, 0), 1, RunOutcome.REFUSED, ""));
			}
			report(Fixtures.report(ONE, ++this.reports, true, List.of(), ends));
			assertThat(report(TWO, List.of()).starts()).as("after report %d", report).isEmpty();
		}
		report(Fixtures.report(ONE, ++this.reports, true, List.of(),
				List.of(new ReportedEnd(++listed, task(1, 0), 1, RunOutcome.DONE, ""))));
		assertThat(this.state.unfinishedJobs()).isEmpty();
	}

	// Guards against a second run of a task beside the first, after reports from before
	// its start reached a later leader.
	@Test
	public void lateReportsFromBeforeAStartDoNotMakeItsRunLost() {
		List<WorkerReport> late = new ArrayList<>();
		for (int report = 0; report < 3; report++) {
			late.add(Fixtures.report(ONE, ++this.reports, false, List.of(), List.of()));
		}
		accept(1, "batch", Fixtures.plan(Fixtures.step(2, 8, true)));
		report(ONE, List.of());
		report(TWO, List.of());
		assertThat(report(ONE, List.of()).starts()).hasSize(1);
		TaskId onTwo = this.state.runsOn(TWO).keySet().iterator().next();
		startNextTerm();
		report(TWO, List.of(), new ReportedEnd(1, onTwo, 1, RunOutcome.REFUSED, ""));
		report(Fixtures.incarnation(3), List.of());
		late.forEach(this::report);
		assertThat(this.state.runsOn(ONE)).containsValue(1);
		assertThat(report(TWO, List.of()).starts()).isEmpty();
	}

}
