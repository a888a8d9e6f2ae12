package io.verbenatrack.fleet.policy;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays seeds of a model of leaders and workers and checks the promises of the scheduler.
 */
public class FleetSchedulerModelTests {

	/** More seeds are played by hand: the properties model.firstSeed and model.seeds. */
	private static final long FIRST_SEED = Long.getLong("model.firstSeed", 1);

	private static final int SEEDS = Integer.getInteger("model.seeds", 3);

	@Test
	public void promisesHoldInEverySeed() {
		for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
			assertThat(new ModelFleet(seed, false).run()).as("seed %d", seed).isEmpty();
		}
	}

	@Test
	public void promisesHoldWhileTheClocksOfWorkersJump() {
		for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
			assertThat(new ModelFleet(seed, true).run()).as("seed %d", seed).isEmpty();
		}
	}

}
