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
			assertThat(new ModelFleet(seed, false, ModelOperators.Kind.NONE).run()).as("seed %d", seed).isEmpty();
		}
	}

	@Test
	public void promisesHoldWhileTheClocksOfWorkersJump() {
		for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
			assertThat(new ModelFleet(seed, true, ModelOperators.Kind.NONE).run()).as("seed %d", seed).isEmpty();
		}
	}

	// Guards against a start that leaves after its zone was evacuated, above all by the
	// next leader, and against jobs that are lost with an evacuation.
	@Test
	public void promisesHoldWhileZonesAreEvacuated() {
		for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
			ModelFleet fleet = new ModelFleet(seed, false, ModelOperators.Kind.EVACUATIONS);
			assertThat(fleet.run()).as("seed %d", seed).isEmpty();
			assertThat(fleet.operators().stored()).as("orders in seed %d", seed).isGreaterThan(3);
		}
	}

	// Guards against TWICE and LOST while services are removed and come back: each leader
	// follows the same workers.
	@Test
	public void promisesHoldWhileServicesAreRemoved() {
		for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
			ModelFleet fleet = new ModelFleet(seed, false, ModelOperators.Kind.CONFIGURATIONS);
			assertThat(fleet.run()).as("seed %d", seed).isEmpty();
			assertThat(fleet.operators().stored()).as("configurations in seed %d", seed).isGreaterThan(3);
		}
	}

}
