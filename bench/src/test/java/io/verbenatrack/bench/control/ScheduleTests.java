package io.verbenatrack.bench.control;

import java.util.List;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the replicas under seeded fault schedules. A seed always gives the same schedule.
 */
public class ScheduleTests {

	private static final long FIRST_SEED = Long.getLong("control.seed", 1);

	private static final int SCHEDULES = Integer.getInteger("control.schedules", 1_000);

	/**
	 * Fewer than the schedules of three replicas, because they take longer and mostly
	 * cover the same cases.
	 */
	private static final int SIX_REPLICA_SCHEDULES = Integer.getInteger("control.schedules.grown", 300);

	private static final int THREADS = 3;

	@Test
	public void schedulesAreLinearizableAndRecover() {
		List<ScheduleResult> results = ScheduleRuns.run(ScheduleSize.THREE_REPLICAS, FIRST_SEED, SCHEDULES, THREADS);
		System.out.println("control schedules: seeds " + FIRST_SEED + " to " + (FIRST_SEED + SCHEDULES - 1));
		assertThat(results)
			.allSatisfy((result) -> assertThat(result.violations()).as("seed " + result.seed()).isEmpty());
		assertThat(results).as("histories too hard to check")
			.allSatisfy((result) -> assertThat(result.openVerdicts()).isZero());
		assertThat(results.stream().mapToInt(ScheduleResult::configurationOperations).sum())
			.isGreaterThan(10 * SCHEDULES);
		assertThat(results.stream().mapToInt(ScheduleResult::claimOperations).sum()).isGreaterThan(10 * SCHEDULES);
	}

	@Test
	public void schedulesOfFiveVotersAndALearnerAreLinearizableAndRecover() {
		List<ScheduleResult> results = ScheduleRuns.run(ScheduleSize.SIX_REPLICAS, FIRST_SEED, SIX_REPLICA_SCHEDULES,
				THREADS);
		assertThat(results)
			.allSatisfy((result) -> assertThat(result.violations()).as("seed " + result.seed()).isEmpty());
		assertThat(results).as("histories too hard to check")
			.allSatisfy((result) -> assertThat(result.openVerdicts()).isZero());
	}

	@Test
	public void sameSeedGivesTheSameResult() {
		assertThat(ScheduleRuns.run(ScheduleSize.THREE_REPLICAS, 7))
			.isEqualTo(ScheduleRuns.run(ScheduleSize.THREE_REPLICAS, 7));
	}

}
