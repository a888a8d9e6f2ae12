package io.verbenatrack.fleet.policy;

import java.time.Duration;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.TaskId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StallDetector} with cases that differ in one condition. The estimated
 * run time is 5 s.
 */
public class StallDetectorTests {

	private static final TaskId TASK = new TaskId(Fixtures.job(1), 0, 0, 0);

	@DataProvider
	Object[][] cases() {
		return new Object[][] { { "no progress for longer than a percent takes", 30, true, 1100, true },
				{ "no progress for a short time", 30, true, 900, false }, { "remote and slow", 30, false, 1100, false },
				{ "remote and stalled", 30, false, 3100, true }, { "waiting for its gang", 0, true, 1100, false },
				{ "never started", 0, true, 2100, true },
				{ "nearly done, the worker may recover", 95, true, 1100, false },
				{ "nearly done, the worker does not recover", 95, true, 4600, true },
				{ "done, the end is reported next", 100, true, 9000, false } };
	}

	@Test(dataProvider = "cases")
	public void movesOnlyRunsThatStall(String name, int percent, boolean local, long stalledMillis,
			boolean shouldMove) {
		StallDetector detector = new StallDetector();
		ReportedRun run = new ReportedRun(TASK, 1, "", percent);
		assertThat(detector.shouldMove(run, Fixtures.step(1, 1, false), () -> 5000, local, 0)).isFalse();
		long now = Duration.ofMillis(stalledMillis).toNanos();
		assertThat(detector.shouldMove(run, Fixtures.step(1, 1, false), () -> 5000, local, now)).as(name)
			.isEqualTo(shouldMove);
	}

	// Guards against a straggler that is moved for gaining a percent as seldom as it was
	// seen to, and against a stuck worker that counts as slow since its runs stand still.
	@Test
	public void paceBeforeTheStallDecides() {
		StallDetector detector = new StallDetector();
		ReportedRun run = new ReportedRun(TASK, 1, "", 10);
		assertThat(detector.shouldMove(run, Fixtures.step(1, 1, false), () -> 35_000, true, 0)).isFalse();
		long afterOnePercent = Duration.ofMillis(2000).toNanos();
		assertThat(detector.shouldMove(run, Fixtures.step(1, 1, false), () -> 35_000, true, afterOnePercent)).isFalse();
		long stuck = Duration.ofMillis(8000).toNanos();
		assertThat(detector.shouldMove(run, Fixtures.step(1, 1, false), () -> 1_000_000, true, stuck)).isTrue();
	}

}
