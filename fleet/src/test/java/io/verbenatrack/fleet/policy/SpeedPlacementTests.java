package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for placement on workers of different speeds: of each four workers of a rack, one
 * runs at 0.55 of the nominal speed and the others at 1.2.
 */
public class SpeedPlacementTests extends SchedulerFixture {

	private static final int RACK = 4;

	private static final double SLOW = 0.55;

	private static final double FAST = 1.2;

	private static final int WHOLE_WORKER = 8;

	private final FixedForecast fixed = new FixedForecast();

	@BeforeMethod
	void startTermWithForecast() {
		this.fixed.factors.clear();
		this.fixed.speeds.clear();
		for (int worker = 0; worker < 2 * RACK; worker++) {
			this.fixed.speeds.put(Fixtures.incarnation(worker), slow(worker) ? SLOW : FAST);
		}
		this.forecast = Optional.of(this.fixed);
		startNextTerm();
	}

	private static boolean slow(int worker) {
		return worker % RACK == 0;
	}

	private void beat(int percent, int workers) {
		for (int number = 0; number < workers; number++) {
			WorkerIncarnation worker = Fixtures.incarnation(number);
			List<ReportedRun> running = new ArrayList<>();
			this.state.runsOn(worker).forEach((task, run) -> running.add(new ReportedRun(task, run, "", percent)));
			WorkerReport plain = Fixtures.report(worker, ++this.reports, false, running, List.of());
			String rack = "rack-" + number / RACK;
			WorkerReport report = new WorkerReport(worker, plain.address(), plain.service(), plain.zone(), rack,
					Set.of(rack), plain.room(), false, 0, plain.sequence(), running, List.of());
			commit(this.scheduler.receiveReport(report, time()).orElse(List.of()));
			this.scheduler.respond(report);
		}
		place();
		this.nowMillis += 100;
	}

	private static StepSpec gang(int count, long estimatedMillis, boolean rackSensitive) {
		return new StepSpec(count, new Resources(1000, 1000, WHOLE_WORKER), estimatedMillis, List.of(), true,
				rackSensitive, Optional.empty(), Optional.empty(), 0, false, false, false);
	}

	private Set<Integer> workersOf(int job) {
		Set<Integer> workers = new HashSet<>();
		for (int number = 0; number < 2 * RACK; number++) {
			boolean runs = this.state.runsOn(Fixtures.incarnation(number))
				.keySet()
				.stream()
				.anyMatch((task) -> task.job().equals(Fixtures.job(job)));
			if (runs) {
				workers.add(number);
			}
		}
		return workers;
	}

	// Guards against a wide gang that is slowed down by a single slow member, while there
	// are enough fast workers.
	@Test
	public void urgentGangRunsOnFastWorkersOnly() {
		accept(1, "urgent", Fixtures.plan(gang(6, 5000, false)));
		beat(0, 2 * RACK);
		assertThat(workersOf(1)).containsExactlyInAnyOrder(1, 2, 3, 5, 6, 7);
	}

	// Guards against slow workers that are idle under load, and fast ones that are taken
	// by steps which do not need them.
	@Test
	public void stepsWithSlackRunOnSlowWorkers() {
		accept(1, "batch", Fixtures.plan(gang(2, 5000, false)));
		beat(0, 2 * RACK);
		accept(2, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		beat(10, 2 * RACK);
		assertThat(workersOf(1)).containsExactlyInAnyOrder(0, 4);
		assertThat(workersOf(2)).as("no room on slow workers").doesNotContain(0, 4).hasSize(1);
	}

	// Guards against a single task that misses its objective on a slow worker.
	@Test
	public void stepsWithoutSlackRunOnFastWorkers() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		this.nowMillis += 9000;
		beat(0, 2 * RACK);
		assertThat(workersOf(1)).isSubsetOf(1, 2, 3, 5, 6, 7).hasSize(1);
	}

	// Guards against a gang that is spread over racks, three times slower, to use fast
	// workers.
	@Test
	public void rackSensitiveGangStaysInARackWithASlowWorker() {
		accept(1, "urgent", Fixtures.plan(gang(RACK, 5000, true)));
		beat(0, 2 * RACK);
		assertThat(workersOf(1)).isIn(Set.of(0, 1, 2, 3), Set.of(4, 5, 6, 7));
	}

	// Guards against a gang that starts on slow workers although it would end sooner on
	// fast ones that become free shortly.
	@Test
	public void gangWaitsForFastWorkersThatAreAboutToBeFree() {
		accept(1, "urgent", Fixtures.plan(gang(6, 5000, false)));
		beat(0, 2 * RACK);
		accept(2, "urgent", Fixtures.plan(gang(2, 5000, false)));
		beat(80, 2 * RACK);
		assertThat(workersOf(2)).isEmpty();
		// Without the rest of the forecast coming true, it does not wait for good.
		for (int beat = 0; beat < 60; beat++) {
			beat(81 + beat / 4, 2 * RACK);
		}
		assertThat(workersOf(2)).containsExactlyInAnyOrder(0, 4);
	}

	// Guards against idle slow workers beside a gang that waits longer for fast ones than
	// it takes on slow ones.
	@Test
	public void gangStartsOnSlowWorkersWhenFastOnesStayBusy() {
		accept(1, "urgent", Fixtures.plan(gang(6, 60_000, false)));
		beat(0, 2 * RACK);
		accept(2, "urgent", Fixtures.plan(gang(2, 5000, false)));
		beat(10, 2 * RACK);
		assertThat(workersOf(2)).containsExactlyInAnyOrder(0, 4);
	}

	// Guards against a promise that depends on the forecast: a guaranteed step starts
	// wherever it can.
	@Test
	public void guaranteedGangDoesNotWaitForFastWorkers() {
		accept(1, "batch", Fixtures.plan(gang(6, 5000, false)));
		this.fixed.speeds.replaceAll((worker, speed) -> (speed == SLOW) ? FAST : SLOW);
		beat(0, 2 * RACK);
		this.fixed.speeds.replaceAll((worker, speed) -> (speed == SLOW) ? FAST : SLOW);
		accept(2, "urgent", Fixtures.plan(gang(2, 5000, false)));
		beat(90, 2 * RACK);
		assertThat(workersOf(1)).containsExactlyInAnyOrder(1, 2, 3, 5, 6, 7);
		assertThat(workersOf(2)).containsExactlyInAnyOrder(0, 4);
	}

	// Guards against learned speeds that change the packing of a fleet without slow
	// workers.
	@Test
	public void workersOfNearlyTheSameSpeedArePackedAsOne() {
		this.fixed.speeds.replaceAll((worker, speed) -> 1 + worker.hashCode() % 5 / 100.0);
		accept(1, "urgent", Fixtures.plan(Fixtures.step(1, 1, false)));
		beat(0, 2 * RACK);
		accept(2, "urgent", Fixtures.plan(Fixtures.step(1, 1, false)));
		beat(10, 2 * RACK);
		assertThat(workersOf(2)).isEqualTo(workersOf(1));
	}

}
