package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.HeartbeatResponse;
import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the rules that keep a waiting task from a worker with room for it, and for
 * when each of them ends.
 */
public class PlacementRulesTests extends SchedulerFixture {

	/** A task for which there is room must not wait longer. */
	private static final long MAX_IDLE_MILLIS = 3000;

	private static final long REPORT_MILLIS = 200;

	private static final WorkerIncarnation THREE = Fixtures.incarnation(3);

	private static final WorkerIncarnation FOUR = Fixtures.incarnation(4);

	private static final int PERCENT = 10;

	private static final int MAX_PERCENT = 98;

	private long endNumber;

	private static StepSpec step(int count, int accelerators, boolean gang, long estimatedMillis, String label,
			String dataRack, int mostOnOneWorker, boolean lasting) {
		return new StepSpec(count, new Resources(1000, 1000, accelerators), estimatedMillis, List.of(), gang, gang,
				Optional.of(label).filter((text) -> !text.isEmpty()),
				Optional.of(dataRack).filter((text) -> !text.isEmpty()), mostOnOneWorker, false, lasting, false);
	}

	private static StepSpec lasting(int count, String label) {
		return step(count, 1, false, 0, label, "", 1, true);
	}

	private static String rack(WorkerIncarnation worker) {
		return (worker.equals(ONE) || worker.equals(TWO)) ? "rack-1" : "rack-2";
	}

	// Only the workers ONE and THREE have the label "odd".
	private WorkerReport reportOf(WorkerIncarnation worker, List<ReportedRun> running, List<ReportedEnd> ended) {
		Set<String> labels = (worker.equals(ONE) || worker.equals(THREE)) ? Set.of("a", rack(worker), "odd")
				: Set.of("a", rack(worker));
		WorkerReport plain = Fixtures.report(worker, ++this.reports, false, running, ended);
		return new WorkerReport(worker, plain.address(), plain.service(), plain.zone(), rack(worker), labels,
				plain.room(), false, 0, plain.sequence(), plain.running(), plain.ended());
	}

	private List<ReportedRun> runs(WorkerIncarnation worker, int percent) {
		List<ReportedRun> runs = new ArrayList<>();
		this.state.runsOn(worker).forEach((task, run) -> runs.add(new ReportedRun(task, run, "", percent)));
		return runs;
	}

	// Runs make progress, or they would count as stalled.
	private void beat(WorkerIncarnation... workers) {
		beatAt((int) Math.min(MAX_PERCENT, PERCENT + this.nowMillis / REPORT_MILLIS), workers);
	}

	private void beatAt(int percent, WorkerIncarnation... workers) {
		for (WorkerIncarnation worker : workers) {
			HeartbeatResponse response = report(reportOf(worker, runs(worker, percent), List.of()));
			for (HeartbeatResponse.Stop stop : response.stops()) {
				end(worker, stop.task(), RunOutcome.STOPPED);
			}
		}
		this.nowMillis += REPORT_MILLIS;
	}

	private void end(WorkerIncarnation worker, TaskId task, RunOutcome how) {
		int run = this.state.runsOn(worker).get(task);
		List<ReportedRun> others = new ArrayList<>(runs(worker, PERCENT));
		others.removeIf((other) -> other.task().equals(task));
		report(reportOf(worker, others, List.of(new ReportedEnd(++this.endNumber, task, run, how, ""))));
	}

	private void endAll(WorkerIncarnation worker, RunOutcome how) {
		List.copyOf(this.state.runsOn(worker).keySet()).forEach((task) -> end(worker, task, how));
	}

	private boolean beatUntil(BooleanSupplier condition, long millis, WorkerIncarnation... workers) {
		long end = this.nowMillis + millis;
		while (this.nowMillis <= end && !condition.getAsBoolean()) {
			beat(workers);
		}
		return condition.getAsBoolean();
	}

	private boolean runs(int job, int members) {
		return this.state.incarnationsInUse()
			.stream()
			.flatMap((worker) -> this.state.runsOn(worker).keySet().stream())
			.filter((task) -> task.job().equals(Fixtures.job(job)))
			.count() == members;
	}

	// Guards against a gang that never starts again, since one of its members failed on a
	// worker that it needs.
	@Test
	public void gangThatFailedOnAWorkerThatItNeedsStartsAgain() {
		accept(1, "urgent", Fixtures.plan(Fixtures.step(2, 8, true)));
		beat(ONE, TWO);
		beat(ONE, TWO);
		assertThat(runs(1, 2)).isTrue();
		endAll(ONE, RunOutcome.FAILED);
		endAll(TWO, RunOutcome.BROKEN);
		assertThat(beatUntil(() -> runs(1, 2), MAX_IDLE_MILLIS, ONE, TWO)).isTrue();
	}

	// Guards against an idle fleet that is reserved for a gang which must not use it.
	@Test
	public void smallJobStartsWhileAGangAvoidsAWorkerThatItNeeds() {
		accept(1, "urgent", Fixtures.plan(Fixtures.step(2, 8, true)));
		beat(ONE, TWO);
		beat(ONE, TWO);
		endAll(ONE, RunOutcome.FAILED);
		endAll(TWO, RunOutcome.BROKEN);
		accept(2, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		beat(ONE, TWO);
		assertThat(runs(2, 1)).isTrue();
	}

	// Guards against a task that never starts again, since it failed on the only worker
	// with its label.
	@Test
	public void taskThatFailedOnTheOnlyWorkerWithItsLabelStartsAgain() {
		accept(1, "batch", Fixtures.plan(step(1, 1, false, 5000, "odd", "", 0, false)));
		beat(ONE, TWO);
		endAll(ONE, RunOutcome.FAILED);
		assertThat(beatUntil(() -> runs(1, 1), MAX_IDLE_MILLIS, ONE, TWO)).isTrue();
	}

	// Guards against attempts that are used up on a worker which fails all that it
	// starts.
	@Test
	public void taskThatFailedPrefersAnotherWorker() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		beat(ONE);
		endAll(ONE, RunOutcome.FAILED);
		beat(ONE);
		assertThat(runs(1, 0)).isTrue();
		beat(ONE, TWO);
		assertThat(this.state.runsOn(TWO)).hasSize(1);
		endAll(TWO, RunOutcome.STOPPED);
		this.nowMillis += 10 * MAX_IDLE_MILLIS;
		beat(ONE, TWO);
		assertThat(runs(1, 1)).isTrue();
	}

	// Guards against a gang that waits for long, since a run of it stalled on the workers
	// that it needs.
	@Test
	public void gangThatStalledOnTheWorkersThatItNeedsStartsAgain() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(2, 8, true)));
		beat(ONE, TWO);
		while (!runs(1, 0) && this.nowMillis < 10_000) {
			beatAt(PERCENT, ONE, TWO);
		}
		assertThat(runs(1, 0)).as("the stalled run is stopped").isTrue();
		assertThat(beatUntil(() -> runs(1, 2), MAX_IDLE_MILLIS, ONE, TWO)).isTrue();
	}

	// Guards against workers that are reserved for a gang until tasks end that never do.
	@Test
	public void smallJobStartsBesideAGangThatWaitsForLastingTasks() {
		accept(1, "urgent", Fixtures.plan(lasting(2, "")));
		beat(ONE, TWO);
		accept(2, "urgent", Fixtures.plan(Fixtures.step(2, 8, true)));
		beat(ONE, TWO);
		accept(3, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		assertThat(beatUntil(() -> runs(3, 1), MAX_IDLE_MILLIS, ONE, TWO)).isTrue();
	}

	// Guards against workers that stay reserved while a run takes longer than estimated.
	@Test
	public void smallJobStartsWhenTheReservationOfAGangIsOverdue() {
		accept(1, "urgent", Fixtures.plan(Fixtures.step(1, 1, false)));
		beatAt(98, ONE, TWO);
		accept(2, "urgent", Fixtures.plan(Fixtures.step(2, 8, true)));
		beatAt(98, ONE, TWO);
		accept(3, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		long accepted = this.nowMillis;
		while (!runs(3, 1) && this.nowMillis - accepted < MAX_IDLE_MILLIS) {
			beatAt(99, ONE, TWO);
		}
		assertThat(runs(3, 1)).isTrue();
	}

	// Guards against small jobs that keep a gang from starting on a fleet that is mostly
	// idle.
	@Test
	public void reservationHoldsForAGangThatIsAboutToStart() {
		accept(1, "urgent", Fixtures.plan(Fixtures.step(1, 1, false)));
		beatAt(50, ONE, TWO);
		accept(2, "urgent", Fixtures.plan(Fixtures.step(2, 8, true)));
		beatAt(55, ONE, TWO);
		accept(3, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		for (int percent = 60; percent < 100; percent += 4) {
			beatAt(percent, ONE, TWO);
			assertThat(runs(3, 0)).as("at %d percent", percent).isTrue();
		}
		WorkerIncarnation worker = this.state.step(task(1, 0))
			.orElseThrow()
			.tasks()
			.getFirst()
			.runningOn()
			.orElseThrow();
		end(worker, task(1, 0), RunOutcome.DONE);
		assertThat(runs(2, 2)).isTrue();
	}

	// Guards against a gang that waits for a rack which a lasting task keeps from being
	// empty, while most of the fleet is idle.
	@Test
	public void gangIsSpreadOverRacksOfAnIdleFleetAfterAWait() {
		accept(1, "urgent", Fixtures.plan(lasting(2, "odd")));
		beat(ONE, TWO, THREE, FOUR);
		assertThat(runs(1, 2)).isTrue();
		accept(2, "batch", Fixtures.plan(Fixtures.step(2, 8, true)));
		assertThat(beatUntil(() -> runs(2, 2), 2000, ONE, TWO, THREE, FOUR)).as("at once").isFalse();
		assertThat(beatUntil(() -> runs(2, 2), 12_000, ONE, TWO, THREE, FOUR)).as("after a wait").isTrue();
	}

	// Guards against a task that waits for the rack of its data as long as it would run.
	@Test
	public void longTaskLeavesTheRackOfItsDataAfterAWait() {
		accept(1, "batch", Fixtures.plan(step(1, 1, false, 3_600_000, "", "rack-2", 0, false)));
		assertThat(beatUntil(() -> runs(1, 1), 2000, ONE, TWO)).as("at once").isFalse();
		assertThat(beatUntil(() -> runs(1, 1), 12_000, ONE, TWO)).as("after a wait").isTrue();
	}

	// Guards against runs that are stopped for a task which must not start on their
	// worker.
	@Test
	public void runIsNotPreemptedForATaskThatMustNotStartThere() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(7, 1, false)));
		beat(ONE);
		accept(2, "urgent", Fixtures.plan(step(2, 1, false, 5000, "", "", 1, false)));
		beat(ONE);
		assertThat(runs(2, 1)).isTrue();
		for (int beat = 0; beat < 10; beat++) {
			beat(ONE);
		}
		assertThat(runs(1, 7)).isTrue();
	}

	// Guards against a worker that gets no tasks for good after a late sign-off of its
	// previous incarnation.
	@Test
	public void workerThatReportsAfterItsSignOffGetsTasks() {
		beat(ONE);
		this.scheduler.markWorkerLeft(ONE.worker());
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		beat(ONE);
		beat(ONE);
		assertThat(runs(1, 0)).as("reports that were on their way").isTrue();
		assertThat(beatUntil(() -> runs(1, 1), MAX_IDLE_MILLIS, ONE)).isTrue();
	}

	// Guards against a worker that stays suspected, since runs from before keep failing.
	@Test
	public void failuresDuringASuspicionDoNotExtendIt() {
		for (int job = 1; job <= 3; job++) {
			accept(job, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		}
		beat(ONE);
		end(ONE, task(1, 0), RunOutcome.FAILED);
		end(ONE, task(2, 0), RunOutcome.FAILED);
		accept(4, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		for (int beat = 0; beat < 25; beat++) {
			beat(ONE);
		}
		end(ONE, task(3, 0), RunOutcome.FAILED);
		assertThat(runs(4, 0)).isTrue();
		assertThat(beatUntil(() -> runs(4, 1), 1500, ONE)).isTrue();
	}

}
