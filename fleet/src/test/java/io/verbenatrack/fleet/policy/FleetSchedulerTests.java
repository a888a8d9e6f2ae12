package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.HeartbeatResponse;
import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.fleet.state.FleetBatch;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.model.AccountId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link FleetScheduler}: what it orders, and what it may not order.
 */
public class FleetSchedulerTests {

	private static final FleetTimings TIMINGS = FleetTimings.withLease(Duration.ofSeconds(6));

	private static final WorkerIncarnation ONE = Fixtures.life(1);

	private static final WorkerIncarnation TWO = Fixtures.life(2);

	private FleetState state;

	private FleetScheduler leader;

	private long term;

	private long sequence;

	private long nowMillis;

	private long reports;

	@BeforeMethod
	void lead() {
		this.state = new FleetState();
		this.nowMillis = 0;
		this.term = 0;
		this.reports = 0;
		nextLeader();
		commit(List.of(new FleetCommand.AdoptConfiguration(Fixtures.configuration(1), new byte[0])));
	}

	private void nextLeader() {
		this.term++;
		this.sequence = 0;
		this.leader = new FleetScheduler(this.state, TIMINGS, this.term, nanos());
	}

	private long nanos() {
		return Duration.ofMillis(this.nowMillis).toNanos();
	}

	private void commit(List<FleetCommand> commands) {
		assertThat(this.state.apply(new FleetBatch(this.term, ++this.sequence, commands))).isTrue();
	}

	private void accept(int job, String queue, JobPlan plan) {
		commit(List
			.of(new FleetCommand.AcceptJob(Fixtures.job(job), queue, new AccountId("account"), plan, this.nowMillis)));
	}

	private static TaskId task(int job, int index) {
		return new TaskId(Fixtures.job(job), 0, 0, index);
	}

	private static ReportedRun running(int job, int index, int run) {
		return new ReportedRun(task(job, index), run, "", 10);
	}

	private HeartbeatResponse report(WorkerIncarnation life, List<ReportedRun> running, ReportedEnd... ended) {
		return report(Fixtures.report(life, ++this.reports, false, running, List.of(ended)));
	}

	private HeartbeatResponse report(WorkerReport report) {
		commit(this.leader.heard(report, nanos()).orElse(List.of()));
		place();
		return this.leader.orders(report);
	}

	private void place() {
		commit(this.leader.lostRuns(nanos()));
		commit(this.leader.place(nanos(), this.nowMillis));
	}

	@Test
	public void startLeavesWithTheAnswerAndAgainUntilItIsListed() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		assertThat(report(ONE, List.of()).starts()).extracting(HeartbeatResponse.Start::run).containsExactly(1);
		assertThat(report(ONE, List.of()).starts()).extracting(HeartbeatResponse.Start::run).containsExactly(1);
		assertThat(report(ONE, List.of(running(1, 0, 1))).starts()).isEmpty();
	}

	@Test
	public void endIsTakenNoteOfOnceItIsRecorded() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		HeartbeatResponse orders = report(ONE, List.of(), new ReportedEnd(7, task(1, 0), 1, RunOutcome.DONE, ""));
		assertThat(orders.takenNote()).isEqualTo(7);
		assertThat(this.state.openJobs()).isEmpty();
		assertThat(orders.starts()).isEmpty();
	}

	@Test
	public void olderReportGetsNoLeaseAndNoOrders() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		WorkerReport late = Fixtures.report(ONE, 0, false, List.of(), List.of());
		assertThat(this.leader.heard(late, nanos())).isEmpty();
		HeartbeatResponse orders = this.leader.orders(late);
		assertThat(orders.leaseMillis()).isZero();
		assertThat(orders.starts()).isEmpty();
	}

	@Test
	public void reportOfAnEarlierLifeIsIgnored() {
		report(Fixtures.report(new WorkerIncarnation(ONE.worker(), 9), 1, false, List.of(), List.of()));
		assertThat(this.leader.heard(Fixtures.report(ONE, 99, false, List.of(), List.of()), nanos())).isEmpty();
	}

	@Test
	public void newLifeMeansThatTheRunsOfTheOldOneAreLost() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		HeartbeatResponse orders = report(
				Fixtures.report(new WorkerIncarnation(ONE.worker(), 9), 1, false, List.of(), List.of()));
		assertThat(orders.starts()).extracting(HeartbeatResponse.Start::run).containsExactly(2);
	}

	@Test
	public void silentWorkersRunsStartElsewhereOnlyAfterItsLease() {
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
	public void newLeaderWaitsOutTheLeasesOfTheOneBefore() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		this.nowMillis += 5900;
		nextLeader();
		this.nowMillis += 6000;
		assertThat(report(TWO, List.of()).starts()).isEmpty();
		this.nowMillis += 500;
		assertThat(report(TWO, List.of()).starts()).hasSize(1);
	}

	@Test
	public void newLeaderRepeatsAStartThatMayNotHaveLeft() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		nextLeader();
		HeartbeatResponse orders = report(ONE, List.of());
		assertThat(orders.starts()).extracting(HeartbeatResponse.Start::run).containsExactly(1);
		assertThat(orders.fence()).isEqualTo(2);
	}

	@Test
	public void leavingWorkerGetsNothingNew() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		assertThat(report(Fixtures.report(ONE, 1, true, List.of(), List.of())).starts()).isEmpty();
		assertThat(report(Fixtures.report(ONE, 2, false, List.of(), List.of())).starts()).hasSize(1);
	}

	@Test
	public void startThatHasNotArrivedIsWithdrawnFromALeavingWorker() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		HeartbeatResponse orders = report(Fixtures.report(ONE, ++this.reports, true, List.of(), List.of()));
		assertThat(orders.starts()).isEmpty();
		assertThat(orders.stops()).hasSize(1);
		report(Fixtures.report(ONE, ++this.reports, true, List.of(), List.of()));
		report(Fixtures.report(ONE, ++this.reports, true, List.of(), List.of()));
		assertThat(report(TWO, List.of()).starts()).extracting(HeartbeatResponse.Start::run).containsExactly(2);
	}

	@Test
	public void cancelledJobsRunIsStoppedUntilItsEndIsListed() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		report(ONE, List.of(running(1, 0, 1)));
		commit(List.of(new FleetCommand.CancelJob(Fixtures.job(1))));
		assertThat(report(ONE, List.of(running(1, 0, 1))).stops()).hasSize(1);
		assertThat(report(ONE, List.of(), new ReportedEnd(1, task(1, 0), 1, RunOutcome.STOPPED, "")).stops()).isEmpty();
	}

	@Test
	public void runThatTheStateDoesNotKnowIsStopped() {
		assertThat(report(ONE, List.of(running(9, 0, 1))).stops())
			.containsExactly(new HeartbeatResponse.Stop(task(9, 0), 1));
	}

	@Test
	public void gangStartsWholeOrNotAtAll() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(2, 8, true)));
		assertThat(report(ONE, List.of()).starts()).isEmpty();
		report(TWO, List.of());
		assertThat(report(TWO, List.of()).starts()).hasSize(1);
		assertThat(report(ONE, List.of()).starts()).hasSize(1);
	}

	@Test
	public void gangThatLostAMemberStopsAsAWhole() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(2, 8, true)));
		report(ONE, List.of());
		report(TWO, List.of());
		report(ONE, List.of(running(1, 0, 1)));
		report(TWO, List.of(running(1, 1, 1)));
		TaskId first = this.state.runsOn(ONE).keySet().iterator().next();
		report(ONE, List.of(), new ReportedEnd(1, first, 1, RunOutcome.REFUSED, ""));
		TaskId second = this.state.runsOn(TWO).keySet().iterator().next();
		HeartbeatResponse orders = report(TWO, List.of(new ReportedRun(second, 1, "", 10)));
		assertThat(orders.stops()).containsExactly(new HeartbeatResponse.Stop(second, 1));
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
	public void jobBeyondTheGuaranteeDoesNotPreemptCostlyWork() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(8, 1, false)));
		report(ONE, List.of());
		List<ReportedRun> runs = new ArrayList<>();
		this.state.runsOn(ONE).forEach((task, run) -> runs.add(new ReportedRun(task, run, "", 90)));
		accept(2, "urgent", Fixtures.plan(Fixtures.step(3, 8, true)));
		this.nowMillis += 600;
		assertThat(report(ONE, runs).stops()).isEmpty();
	}

	@Test
	public void workerOnWhichTwoJobsFailedGetsNothingForAWhile() {
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
	public void runsOfAWorkerThatSaysItLeavesStartElsewhereOnlyAfterItsLease() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		report(ONE, List.of(running(1, 0, 1)));
		this.leader.left(ONE.worker());
		this.nowMillis += 6000;
		assertThat(report(TWO, List.of()).starts()).isEmpty();
		this.nowMillis += 600;
		assertThat(report(TWO, List.of()).starts()).extracting(HeartbeatResponse.Start::run).containsExactly(2);
	}

	@Test
	public void leavingWorkerKeepsWhatEndsInTimeAndStopsWhatDoesNot() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(2, 1, false)));
		report(ONE, List.of());
		ReportedRun nearlyDone = new ReportedRun(task(1, 0), 1, "", 90);
		ReportedRun justBegun = new ReportedRun(task(1, 1), 1, "", 10);
		HeartbeatResponse orders = report(
				Fixtures.report(ONE, ++this.reports, true, List.of(nearlyDone, justBegun), List.of()));
		assertThat(orders.stops()).containsExactly(new HeartbeatResponse.Stop(task(1, 1), 1));
	}

	private static ReportedRun at(int index, int percent) {
		return new ReportedRun(task(1, index), 1, "", percent);
	}

	@Test
	public void runThatStandsStillStartsAgainOnAnotherWorker() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		for (int report = 0; report < 5; report++) {
			assertThat(report(ONE, List.of(at(0, 20))).stops()).as("after %d ms", this.nowMillis).isEmpty();
			this.nowMillis += 250;
		}
		assertThat(report(ONE, List.of(at(0, 20))).stops()).containsExactly(new HeartbeatResponse.Stop(task(1, 0), 1));
		report(ONE, List.of(), new ReportedEnd(1, task(1, 0), 1, RunOutcome.STOPPED, ""));
		assertThat(this.state.runsOn(ONE)).isEmpty();
		assertThat(report(TWO, List.of()).starts()).extracting(HeartbeatResponse.Start::run).containsExactly(2);
	}

	@Test
	public void runThatGetsOnIsLeftWhereItIs() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		for (int percent = 20; percent < 60; percent++) {
			assertThat(report(ONE, List.of(at(0, percent))).stops()).isEmpty();
			this.nowMillis += 250;
		}
	}

	@Test
	public void taskThatStandsStillOnEveryWorkerIsNotMovedWithoutEnd() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		int moves = 0;
		for (int round = 0; round < 200; round++) {
			for (WorkerIncarnation life : List.of(ONE, TWO)) {
				List<ReportedRun> running = new ArrayList<>();
				this.state.runsOn(life).forEach((task, run) -> running.add(new ReportedRun(task, run, "", 0)));
				for (HeartbeatResponse.Stop stop : report(life, running).stops()) {
					moves++;
					report(life, List.of(), new ReportedEnd(moves, stop.task(), stop.run(), RunOutcome.STOPPED, ""));
				}
			}
			this.nowMillis += 200;
		}
		assertThat(moves).isEqualTo(2);
	}

	@Test
	public void startThatNeverLeftIsWithdrawnFromASilentWorker() {
		report(ONE, List.of());
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		place();
		assertThat(this.state.runsOn(ONE)).hasSize(1);
		this.nowMillis += 1300;
		assertThat(report(TWO, List.of()).starts()).extracting(HeartbeatResponse.Start::run).containsExactly(2);
	}

}
