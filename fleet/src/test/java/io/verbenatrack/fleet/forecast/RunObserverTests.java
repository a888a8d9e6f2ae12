package io.verbenatrack.fleet.forecast;

import java.io.IOException;
import java.time.Duration;
import java.util.List;

import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.state.FleetBatch;
import io.verbenatrack.fleet.state.FleetCodec;
import io.verbenatrack.fleet.state.FleetCommand;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for {@link RunObserver}: what reports of workers tell of run times and speeds.
 */
public class RunObserverTests {

	private static final int[] ALL = { 0, 1, 2, 3, 4, 5, 6, 7 };

	private static ObservedFleet fleet() {
		return new ObservedFleet(ALL.length);
	}

	private static void startOnAll(ObservedFleet fleet, int steps, long estimate, double workMillis) {
		for (int step = 0; step < steps; step++) {
			fleet.start(false, estimate, workMillis, ALL);
		}
	}

	// Guards against workers whose speed is learned only once many runs have ended.
	@Test
	public void slowWorkersAreKnownAfterThreeSeconds() {
		ObservedFleet fleet = fleet();
		for (int worker : ALL) {
			fleet.speeds[worker] = (worker % 4 == 0) ? 0.55 : 1.2;
		}
		startOnAll(fleet, 2, 10_000, 10_000);
		fleet.advance(3000);
		assertThat(fleet.speed(0)).isCloseTo(0.55 / 1.2, within(0.1));
		assertThat(fleet.speed(1)).isCloseTo(1, within(0.1));
	}

	// Guards against a worker that is taken for slow because of one long task.
	@Test
	public void stragglerIsNotTakenForSlowWorker() {
		ObservedFleet fleet = fleet();
		startOnAll(fleet, 1, 10_000, 10_000);
		TaskId straggler = fleet.start(false, 10_000, 70_000, ALL[3]);
		fleet.advance(4000);
		assertThat(fleet.speed(3)).isCloseTo(1, within(0.15));
		assertThat(fleet.remaining(straggler, 10_000)).isBetween(50_000L, 80_000L);
	}

	// Guards against forecasts and placement that go on with the speed of before.
	@Test
	public void workerThatTurnsSlowIsSeenWithinTwoSeconds() {
		ObservedFleet fleet = fleet();
		startOnAll(fleet, 3, 20_000, 20_000);
		fleet.advance(4000);
		fleet.speeds[2] = 0.2;
		fleet.advance(2000);
		assertThat(fleet.speed(2)).isLessThan(0.4);
		assertThat(fleet.speed(1)).isCloseTo(1, within(0.15));
		TaskId onSlow = new TaskId(Fixtures.job(1), 0, 0, 2);
		assertThat(fleet.remaining(onSlow, 20_000)).isGreaterThan(40_000);
		fleet.speeds[2] = 1;
		fleet.advance(2000);
		assertThat(fleet.speed(2)).isGreaterThan(0.7);
	}

	// Guards against members of a slow gang that all are taken for slow.
	@Test
	public void slowGangIsAttributedToItsSlowestMember() {
		ObservedFleet fleet = fleet();
		startOnAll(fleet, 1, 60_000, 60_000);
		fleet.start(true, 20_000, 20_000, 0, 1, 2, 3);
		fleet.advance(8000);
		fleet.speeds[2] = 0.2;
		fleet.advance(6000);
		assertThat(fleet.speed(2)).isLessThan(0.4);
		assertThat(fleet.speed(0)).isGreaterThan(0.8);
		assertThat(fleet.speed(3)).isGreaterThan(0.8);
	}

	// Guards against a gang that counts as often as it has members.
	@Test
	public void gangIsOneSample() {
		ObservedFleet fleet = fleet();
		for (int gang = 0; gang < 3; gang++) {
			fleet.start(true, 1000, 3000, ALL);
		}
		fleet.advance(4000);
		fleet.advance(5200);
		assertThat(fleet.running).isEmpty();
		assertThat(fleet.state.runTimes().classes()).hasSize(2)
			.allSatisfy((recorded) -> assertThat(recorded.weight()).isBetween(28_000, 30_000));
	}

	// Guards against 0 for a run that exceeds its estimate, which looks free to wait for.
	@Test
	public void overdueRunHasRemainingTime() {
		ObservedFleet fleet = fleet();
		TaskId task = fleet.start(false, 1000, 1_000_000, 0);
		fleet.advance(6000);
		long early = fleet.remaining(task, 1000);
		fleet.advance(6000);
		assertThat(early).isPositive();
		assertThat(fleet.remaining(task, 1000)).isGreaterThan(early);
		fleet.advance(60_000);
		assertThat(fleet.remaining(task, 1000)).isCloseTo(930_000, within(100_000L));
	}

	// Guards against the time before a gang is complete, or a checkpoint is restored,
	// that
	// is taken for slow progress.
	@Test
	public void standstillBeforeTheFirstProgressDoesNotCount() {
		ObservedFleet fleet = fleet();
		TaskId task = fleet.start(true, 5000, 5000, 0, 1);
		ObservedFleet.Run first = fleet.running.get(task);
		fleet.speeds[0] = 0;
		fleet.advance(2000);
		assertThat(first.percent()).isZero();
		fleet.speeds[0] = 1;
		fleet.advance(2000);
		assertThat(fleet.remaining(task, 5000)).isCloseTo(3000, within(700L));
	}

	// Guards against learned values spoilt by faulty workers, and against a log line for
	// each of their reports.
	@Test
	public void absurdReportsAreIgnored() {
		ObservedFleet fleet = fleet();
		TaskId task = fleet.start(false, -5, 10_000, 0);
		long number = 1000;
		for (int percent : List.of(-7, 50, 20, 300, Integer.MAX_VALUE, 0)) {
			fleet.nowMillis += 600;
			fleet.observer.observe(Fixtures.report(fleet.incarnation(0), number++, false,
					List.of(new ReportedRun(task, 1, "", percent)), List.of()), fleet.nanos());
		}
		assertThat(fleet.observer.drainEvents()).singleElement().isInstanceOf(ForecastEvent.ValuesIgnored.class);
		// The clock jumps back, and the run ends a month later.
		fleet.observer.observe(Fixtures.report(fleet.incarnation(0), number++, false,
				List.of(new ReportedRun(task, 1, "", 40)), List.of()), -1);
		assertThat(fleet.remaining(task, -5)).isPositive();
		fleet.observer.observe(
				Fixtures.report(fleet.incarnation(0), number++, false, List.of(),
						List.of(new ReportedEnd(1, task, 1, RunOutcome.DONE, ""))),
				fleet.nanos() + Duration.ofDays(30).toNanos());
		assertThat(fleet.total(7000)).isEqualTo(7000);
		assertThat(fleet.observer.drainEvents()).hasSize(1);
	}

	// Guards against runs that were stopped and count as short ones, and against memory
	// for runs that are over.
	@Test
	public void stoppedRunIsNoSampleAndIsForgotten() {
		ObservedFleet fleet = fleet();
		TaskId task = fleet.start(false, 10_000, 10_000, 0);
		fleet.advance(1000);
		fleet.running.clear();
		fleet.observer.observe(Fixtures.report(fleet.incarnation(0), 1000, false, List.of(),
				List.of(new ReportedEnd(1, task, 1, RunOutcome.STOPPED, ""))), fleet.nanos());
		fleet.commit(new FleetCommand.EndRun(task, 1, fleet.incarnation(0), RunOutcome.STOPPED, ""));
		fleet.advance(6000);
		assertThat(fleet.state.runTimes().classes()).isEmpty();
		assertThat(fleet.observer.openRuns()).isZero();
	}

	// Guards against a new leader that begins anew, also when it has only a snapshot.
	@Test
	public void newLeaderContinuesFromSnapshot() throws IOException {
		ObservedFleet fleet = fleet();
		fleet.speeds[5] = 0.5;
		for (int round = 0; round < 10; round++) {
			startOnAll(fleet, 2, 1000 + 400 * round, 3000);
			fleet.advance(6200);
		}
		long learned = fleet.total(1000);
		assertThat(learned).isCloseTo(3000, within(500L));
		fleet.restoreFromSnapshot();
		assertThat(fleet.total(1000)).isCloseTo(learned, within(300L));
		assertThat(fleet.speed(5)).isCloseTo(0.5, within(0.1));
	}

	// Guards against a log that grows although nothing new is learned.
	@Test
	public void summariesComeEveryFiveSecondsAndStopWhenNothingChanges() {
		ObservedFleet fleet = fleet();
		startOnAll(fleet, 2, 1000, 3000);
		fleet.advance(20_000);
		assertThat(fleet.summaries).hasSizeBetween(1, 2);
	}

	// Guards against a log that learning fills, with long names and many workers.
	@Test
	public void summaryIsBounded() {
		ObservedFleet fleet = new ObservedFleet(1500);
		int[] workers = new int[1500];
		for (int worker = 0; worker < workers.length; worker++) {
			workers[worker] = worker;
			fleet.speeds[worker] = (worker % 3 == 0) ? 0.5 : 1;
		}
		fleet.start(false, 8000, 8000, workers);
		fleet.start(false, 8000, 8000, workers);
		fleet.advance(30_000);
		FleetCodec codec = new FleetCodec();
		assertThat(fleet.summaries).hasSizeGreaterThan(1)
			.allSatisfy((summary) -> assertThat(codec.encode(new FleetBatch(1, 1, List.of(summary))))
				.hasSizeLessThan(16 * 1024));
		assertThat(fleet.state.runTimes().speeds()).hasSizeGreaterThan(400);
	}

}
