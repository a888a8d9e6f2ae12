package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.forecast.RunForecast;
import io.verbenatrack.fleet.model.HeartbeatResponse;
import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.state.JobState;
import io.verbenatrack.fleet.state.StepState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for decisions under estimates that are off by a factor which the forecast knows.
 * The estimated run time is 5 s where a test does not say otherwise.
 */
public class ForecastDecisionsTests extends SchedulerFixture {

	private final FixedForecast fixed = new FixedForecast();

	@BeforeMethod
	void startTermWithForecast() {
		this.fixed.factors.clear();
		this.forecast = Optional.of(this.fixed);
		startNextTerm();
	}

	private HeartbeatResponse beat(WorkerIncarnation worker, int percent, boolean draining) {
		List<ReportedRun> running = new ArrayList<>();
		this.state.runsOn(worker).forEach((task, run) -> running.add(new ReportedRun(task, run, "", percent)));
		this.nowMillis += 100;
		return report(Fixtures.report(worker, ++this.reports, draining, running, List.of()));
	}

	private boolean runs(int job) {
		return this.state.job(Fixtures.job(job)).orElseThrow().step(0, 0).tasks().getFirst().runningOn().isPresent();
	}

	private static JobPlan shortPlan(long estimatedMillis) {
		return Fixtures.plan(new StepSpec(1, new Resources(1000, 1000, 1), estimatedMillis, List.of(), false, false,
				Optional.empty(), Optional.empty(), 0, false, false, false));
	}

	private List<String> order(RunForecast used) {
		return PendingStepOrder.sorted(this.state, used, (step) -> false, 50_000)
			.stream()
			.map((step) -> step.queue().name())
			.toList();
	}

	// Guards against a job that counts as worthless, since the estimate is too short and
	// with it the objective.
	@Test
	public void outlookFollowsTheLearnedRunTime() {
		this.fixed.factors.put("batch", 4.0);
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		accept(2, "urgent", Fixtures.plan(Fixtures.step(1, 1, false)));
		assertThat(order(this.fixed)).containsExactly("batch", "urgent");
		assertThat(order(RunForecast.DECLARED)).containsExactly("urgent", "batch");
	}

	// Guards against tasks with a short estimate that delay the gang for which workers
	// are reserved.
	@Test
	public void taskThatOutlivesAReservationIsNotStartedBefore() {
		this.fixed.factors.put("batch", 10.0);
		accept(1, "urgent", Fixtures.plan(Fixtures.step(1, 1, false)));
		beat(ONE, 50, false);
		beat(TWO, 50, false);
		accept(2, "urgent", Fixtures.plan(Fixtures.step(2, 8, true)));
		beat(ONE, 50, false);
		accept(3, "batch", shortPlan(1000));
		accept(4, "batch", shortPlan(100));
		beat(TWO, 50, false);
		assertThat(runs(3)).isFalse();
		assertThat(runs(4)).isTrue();
	}

	// Guards against a run that is stopped on a draining worker although it would end
	// before the worker leaves.
	@Test
	public void runThatEndsBeforeADrainingWorkerLeavesContinues() {
		this.fixed.factors.put("batch", 0.2);
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		accept(2, "urgent", Fixtures.plan(Fixtures.step(1, 1, false)));
		beat(ONE, 0, false);
		HeartbeatResponse response = beat(ONE, 10, true);
		assertThat(response.stops()).extracting(HeartbeatResponse.Stop::task).containsExactly(task(2, 0));
	}

	// Guards against a victim that loses much more work than its estimate says.
	@Test
	public void doneWorkFollowsTheLearnedRunTime() {
		this.fixed.factors.put("batch", 4.0);
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		beat(ONE, 0, false);
		beat(ONE, 30, false);
		JobState job = this.state.job(Fixtures.job(1)).orElseThrow();
		StepState step = job.step(0, 0);
		TrackedWorker worker = new TrackedWorker(
				Fixtures.report(ONE, 1, false, List.of(new ReportedRun(task(1, 0), 1, "", 30)), List.of()), true, 0, 0);
		assertThat(RunProgress.of(this.fixed, job, step, task(1, 0), worker).doneMillis()).isEqualTo(6000);
	}

}
