package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.HeartbeatResponse;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.WorkerIncarnation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for moving runs from a worker whose speed falls while they run, as in bursts in
 * which some workers run five times slower.
 */
public class SlowedWorkersTests extends SchedulerFixture {

	private static final WorkerIncarnation THREE = Fixtures.incarnation(3);

	private final FixedForecast fixed = new FixedForecast();

	@BeforeMethod
	void startTermWithForecast() {
		this.fixed.speeds.clear();
		this.fixed.runMillis.clear();
		this.forecast = Optional.of(this.fixed);
		startNextTerm();
	}

	private HeartbeatResponse beat(WorkerIncarnation worker, int percent) {
		List<ReportedRun> running = new ArrayList<>();
		this.state.runsOn(worker).forEach((task, run) -> running.add(new ReportedRun(task, run, "saved", percent)));
		this.nowMillis += 100;
		return report(Fixtures.report(worker, ++this.reports, false, running, List.of()));
	}

	private static StepSpec step(int count, int accelerators, boolean checkpoints) {
		return new StepSpec(count, new Resources(1000, 1000, accelerators), 5000, List.of(), count > 1, count > 1,
				Optional.empty(), Optional.empty(), 0, false, false, checkpoints);
	}

	@DataProvider
	Object[][] cases() {
		return new Object[][] { { "became slow", true, 1.0, 0.2, 1.0, 25_000L, 30, true },
				{ "would lose its work", false, 1.0, 0.2, 1.0, 25_000L, 30, false },
				{ "was as slow when the run started", true, 0.2, 0.2, 1.0, 25_000L, 30, false },
				{ "is a straggler", true, 1.0, 1.0, 1.0, 35_000L, 30, false },
				{ "all workers became slow", true, 1.0, 0.2, 0.2, 25_000L, 30, false },
				{ "ends before it could restart", true, 1.0, 0.2, 1.0, 25_000L, 96, false } };
	}

	// Guards against a run that stays on a worker which became much slower, and against
	// moves that do not let a run end sooner.
	@Test(dataProvider = "cases")
	public void runLeavesASlowedWorkerIfItEndsSoonerElsewhere(String name, boolean checkpoints, double before,
			double after, double others, long runMillis, int percent, boolean moves) {
		this.fixed.speeds.put(ONE, before);
		accept(1, "batch", Fixtures.plan(step(1, 1, checkpoints)));
		beat(ONE, 0);
		beat(TWO, 0);
		beat(THREE, 0);
		beat(ONE, 5);
		this.fixed.speeds.put(ONE, after);
		this.fixed.speeds.put(TWO, others);
		this.fixed.speeds.put(THREE, others);
		this.fixed.runMillis.put(task(1, 0), runMillis);
		place();
		assertThat(beat(ONE, percent).stops()).as(name).hasSize(moves ? 1 : 0);
	}

	// Guards against a gang that is stopped, and then waits for a worker to replace the
	// slowed one.
	@Test
	public void gangStaysWhenThereIsNoRoomElsewhere() {
		accept(1, "urgent", Fixtures.plan(step(2, 8, true)));
		beat(ONE, 0);
		beat(TWO, 0);
		accept(2, "urgent", Fixtures.plan(step(1, 1, true)));
		beat(THREE, 0);
		beat(ONE, 5);
		this.fixed.speeds.put(ONE, 0.2);
		this.fixed.runMillis.put(task(1, 0), 25_000L);
		this.fixed.runMillis.put(task(1, 1), 25_000L);
		place();
		assertThat(beat(ONE, 30).stops()).isEmpty();
	}

	// Guards against a gang that avoids all of its workers since one of them became slow.
	@Test
	public void gangThatMovesKeepsItsOtherWorkers() {
		accept(1, "urgent", Fixtures.plan(step(2, 8, true)));
		beat(ONE, 0);
		beat(TWO, 0);
		beat(THREE, 0);
		beat(ONE, 5);
		this.fixed.speeds.put(ONE, 0.2);
		this.fixed.runMillis.put(task(1, 0), 25_000L);
		this.fixed.runMillis.put(task(1, 1), 25_000L);
		place();
		assertThat(beat(ONE, 30).stops()).hasSize(1);
		this.nowMillis += 100;
		report(TWO, List.of());
		report(ONE, List.of());
		for (int beat = 0; beat < 4; beat++) {
			this.nowMillis += 100;
			report(Fixtures.report(ONE, ++this.reports, false, List.of(), List.of()));
			report(Fixtures.report(TWO, ++this.reports, false, List.of(), List.of()));
			beat(THREE, 0);
		}
		assertThat(this.state.runsOn(ONE)).isEmpty();
		assertThat(this.state.runsOn(TWO)).hasSize(1);
		assertThat(this.state.runsOn(THREE)).hasSize(1);
	}

}
