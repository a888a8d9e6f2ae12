package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the choice of runs to preempt, the room that they free, and the log of
 * waiting jobs.
 */
public class PreemptionTests extends SchedulerFixture {

	private static final int OVER_DELAY_MILLIS = 600;

	// Runs without progress count as stalled.
	private static final long REPORT_MILLIS = 100;

	private static final int MAX_PERCENT = 98;

	private long endNumber;

	// Guards against a run that is stopped for each of several urgent steps that fit into
	// the room of one run.
	@Test
	public void oneVictimMakesRoomForSeveralSteps() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 8, true)));
		accept(2, "batch", Fixtures.plan(Fixtures.step(1, 8, true)));
		beat(ONE, TWO);
		accept(3, "urgent", Fixtures.plan(Fixtures.step(1, 4, true)));
		accept(4, "urgent", Fixtures.plan(Fixtures.step(1, 4, true)));
		this.nowMillis += OVER_DELAY_MILLIS;
		int stops = report(ONE, runs(ONE)).stops().size() + report(TWO, runs(TWO)).stops().size();
		assertThat(stops).isEqualTo(1);
	}

	// Guards against a gang that is stopped in part, and against its loss counted once
	// for
	// each of its workers.
	@Test
	public void gangIsPreemptedAsAWholeAndItsLossCountsOnce() {
		report(ONE, List.of());
		accept(1, "batch", Fixtures.plan(Fixtures.step(2, 5, true)));
		beat(TWO, ONE);
		accept(2, "urgent", Fixtures.plan(Fixtures.step(1, 8, true)));
		this.nowMillis += OVER_DELAY_MILLIS;
		report(ONE, runs(ONE));
		List<FleetEvent.RunPreempted> events = preemptions();
		assertThat(events).extracting(FleetEvent.RunPreempted::task).containsExactlyInAnyOrder(task(1, 0), task(1, 1));
		assertThat(events.stream().mapToLong(FleetEvent.RunPreempted::lostMillis).sum()).isBetween(8100L, 8250L);
	}

	// Guards against a preempted run that restarts in the room that it made, before the
	// last member of the urgent gang has room.
	@Test
	public void preemptedRunDoesNotRestartInTheRoomThatItMade() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 8, true)));
		accept(2, "batch", Fixtures.plan(Fixtures.step(1, 8, true)));
		beat(ONE, TWO);
		accept(3, "urgent", Fixtures.plan(Fixtures.step(2, 8, true)));
		this.nowMillis += OVER_DELAY_MILLIS;
		beat(ONE, TWO);
		TaskId stopped = this.state.runsOn(ONE).keySet().iterator().next();
		end(ONE, stopped);
		beat(ONE);
		assertThat(this.state.runsOn(ONE)).isEmpty();
		end(TWO, this.state.runsOn(TWO).keySet().iterator().next());
		assertThat(this.state.runsOn(ONE).keySet()).extracting(TaskId::job).containsOnly(Fixtures.job(3));
	}

	// Guards against an urgent step that stops more runs from pass to pass, as the first
	// stops arrive.
	@Test
	public void planIsKeptWhileItsStopsArrive() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(16, 1, false)));
		beat(ONE, TWO);
		accept(2, "urgent", Fixtures.plan(Fixtures.step(1, 8, true)));
		this.nowMillis += OVER_DELAY_MILLIS;
		for (int pass = 0; pass < 3; pass++) {
			report(ONE, runs(ONE));
			report(TWO, runs(TWO));
		}
		List<FleetEvent.RunPreempted> planned = preemptions();
		assertThat(planned).hasSize(8).allSatisfy((event) -> {
			assertThat(event.startingStep()).isEqualTo(task(2, 0));
			assertThat(event.guaranteed()).isTrue();
			assertThat(event.lostMillis()).isPositive();
			assertThat(event.earlierPreemptions()).isZero();
		});
		WorkerIncarnation worker = this.state.runsOn(ONE).containsKey(planned.getFirst().task()) ? ONE : TWO;
		end(worker, planned.getFirst().task());
		report(ONE, runs(ONE));
		report(TWO, runs(TWO));
		assertThat(preemptions()).isEmpty();
	}

	// Guards against a step that is stopped again and again for steps beyond a guarantee.
	// The first urgent job never fits, and exceeds the guarantee of the account.
	@Test
	public void stepIsPreemptedOnceWithinItsObjectiveWithoutAGuarantee() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 8, true)));
		beat(ONE);
		accept(2, "urgent", Fixtures.plan(Fixtures.step(3, 8, true)));
		accept(3, "urgent", Fixtures.plan(Fixtures.step(1, 8, true)));
		this.nowMillis += OVER_DELAY_MILLIS;
		beat(ONE);
		assertThat(preemptions()).hasSize(1).allMatch((event) -> !event.guaranteed());
		end(ONE, task(1, 0));
		beat(ONE);
		end(ONE, task(3, 0), RunOutcome.DONE);
		beat(ONE);
		assertThat(this.state.runsOn(ONE)).containsOnlyKeys(task(1, 0));
		accept(4, "urgent", Fixtures.plan(Fixtures.step(1, 8, true)));
		this.nowMillis += OVER_DELAY_MILLIS;
		beat(ONE);
		assertThat(preemptions()).isEmpty();
	}

	// Guards against a loss without bounds for urgent jobs beyond their guarantees.
	@Test
	public void lossPerSecondIsBounded() {
		LossBudget budget = new LossBudget();
		budget.fill(100, 0);
		budget.spend(30_000);
		assertThat(budget.left()).as("5% of 5 s are used").isFalse();
		budget.fill(100, 900_000_000L);
		assertThat(budget.left()).as("after 0.9 s").isFalse();
		budget.fill(100, 1_100_000_000L);
		assertThat(budget.left()).as("after 1.1 s").isTrue();
	}

	// Guards against a waiting job of which the log tells only the begin of its wait.
	@Test
	public void waitingJobIsLoggedAgainWithItsReason() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(8, 1, false)));
		beat(ONE);
		accept(2, "batch", Fixtures.plan(Fixtures.step(1, 8, false)));
		this.scheduler.drainEvents();
		for (int pass = 0; pass < 50; pass++) {
			beat(ONE);
			this.nowMillis += 100;
		}
		List<FleetEvent.JobWaits> waits = waits();
		assertThat(waits).hasSize(3).allSatisfy((event) -> {
			assertThat(event.reason()).isEqualTo(WaitReason.OCCUPIED);
			assertThat(event.holders()).containsExactly(new CapacityHolder(Fixtures.job(1), 2, 8));
		});
		assertThat(waits.getLast().waitedMillis()).isBetween(4000L, 4500L);
	}

	// Guards against a log that many waiting jobs fill, and against jobs that it never
	// names.
	@Test
	public void waitingJobsAreLoggedWithinTheLimitInTurn() {
		beat(ONE);
		for (int job = 1; job <= 120; job++) {
			accept(job, "batch", Fixtures.plan(Fixtures.step(1, 9, false)));
		}
		List<FleetEvent.JobWaits> all = new ArrayList<>();
		for (int pass = 0; pass < 30; pass++) {
			beat(ONE);
			this.nowMillis += 100;
			all.addAll(waits());
		}
		assertThat(all).hasSizeLessThanOrEqualTo(200);
		assertThat(all.stream().map(FleetEvent.JobWaits::job).distinct()).hasSize(120);
	}

	private List<ReportedRun> runs(WorkerIncarnation worker) {
		List<ReportedRun> runs = new ArrayList<>();
		int percent = (int) Math.min(MAX_PERCENT, 10 + this.nowMillis / REPORT_MILLIS);
		this.state.runsOn(worker).forEach((task, run) -> runs.add(new ReportedRun(task, run, "", percent)));
		return runs;
	}

	private void beat(WorkerIncarnation... workers) {
		for (WorkerIncarnation worker : workers) {
			report(worker, runs(worker));
		}
		for (WorkerIncarnation worker : workers) {
			report(worker, runs(worker));
		}
	}

	private void end(WorkerIncarnation worker, TaskId task) {
		end(worker, task, RunOutcome.STOPPED);
	}

	private void end(WorkerIncarnation worker, TaskId task, RunOutcome how) {
		int run = this.state.runsOn(worker).get(task);
		List<ReportedRun> others = runs(worker);
		others.removeIf((other) -> other.task().equals(task));
		report(worker, others, new ReportedEnd(++this.endNumber, task, run, how, ""));
	}

	private List<FleetEvent.RunPreempted> preemptions() {
		return events(FleetEvent.RunPreempted.class);
	}

	private List<FleetEvent.JobWaits> waits() {
		return events(FleetEvent.JobWaits.class);
	}

	private <T extends FleetEvent> List<T> events(Class<T> type) {
		return this.scheduler.drainEvents().stream().filter(type::isInstance).map(type::cast).toList();
	}

}
