package io.verbenatrack.fleet.policy;

import java.time.Duration;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.TaskId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StallDetector}: each pair differs in one thing. Runs take 5 s by
 * estimate.
 */
public class StallDetectorTests {

	private static final TaskId TASK = new TaskId(Fixtures.job(1), 0, 0, 0);

	@DataProvider
	Object[][] cases() {
		return new Object[][] { { "still for longer than a percent takes", 30, true, 1100, true },
				{ "still for a moment", 30, true, 900, false }, { "slow since it is far away", 30, false, 1100, false },
				{ "still although it is far away", 30, false, 3100, true },
				{ "waiting for its gang", 0, true, 1100, false }, { "never begun", 0, true, 2100, true },
				{ "nearly done, the worker may come back", 95, true, 1100, false },
				{ "nearly done, the worker stays away", 95, true, 4600, true },
				{ "done, the end comes next", 100, true, 9000, false } };
	}

	@Test(dataProvider = "cases")
	public void movesOnlyRunsThatStall(String name, int percent, boolean local, long stalledMillis,
			boolean shouldMove) {
		StallDetector detector = new StallDetector();
		ReportedRun run = new ReportedRun(TASK, 1, "", percent);
		assertThat(detector.shouldMove(run, Fixtures.step(1, 1, false), local, 0)).isFalse();
		long now = Duration.ofMillis(stalledMillis).toNanos();
		assertThat(detector.shouldMove(run, Fixtures.step(1, 1, false), local, now)).as(name).isEqualTo(shouldMove);
	}

}
