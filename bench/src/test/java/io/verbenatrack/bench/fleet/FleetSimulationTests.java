package io.verbenatrack.bench.fleet;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the fleet scheduling policy under heavy load patterns.
 */
public class FleetSimulationTests {

	/** Minimum earned share of the available credit under any load pattern. */
	private static final double MINIMUM_EARNED = 0.75;

	/**
	 * Minimum earned share under the calm load pattern, where only wrong estimates cost
	 * credit.
	 */
	private static final double MINIMUM_CALM_EARNED = 0.9;

	private static final double MINIMUM_SERVED = 0.9;

	private static final long SEED = 11;

	@DataProvider
	Object[][] loads() {
		return FleetLoad.all()
			.stream()
			.filter((load) -> !load.name().equals("wide-burst"))
			.map((load) -> new Object[] { load })
			.toArray(Object[][]::new);
	}

	@Test(dataProvider = "loads")
	public void loadIsServedWithoutViolations(FleetLoad load) {
		FleetResult result = FleetSimulation.run(load, SEED);
		assertThat(result.violations()).isEmpty();
		assertThat(result.earnedShare()).as("%s", result)
			.isGreaterThan(load.name().equals("calm") ? MINIMUM_CALM_EARNED : MINIMUM_EARNED);
		assertThat(result.servedShare()).as("%s", result).isGreaterThan(MINIMUM_SERVED);
	}

	@Test
	public void wideGangsAreNotStarvedByABurstOfUrgentJobs() {
		FleetResult result = FleetSimulation.run(FleetLoad.of("urgent-burst"), SEED);
		assertThat(result.earnedShare("urgent")).as("%s", result).isGreaterThan(MINIMUM_EARNED);
		assertThat(result.earnedShare("nightly")).as("%s", result).isGreaterThan(MINIMUM_EARNED / 2);
	}

	/** Minimum share of jobs served by an overloaded fleet. */
	private static final double MINIMUM_OVERLOAD_SERVED = 0.85;

	@Test
	public void wideGangsOfALargeFleetAreServedBesideABurstAndLostWorkers() {
		FleetResult result = FleetSimulation.run(FleetLoad.of("wide-burst"), SEED);
		assertThat(result.violations()).isEmpty();
		assertThat(result.earnedShare()).as("%s", result).isGreaterThan(MINIMUM_EARNED);
		assertThat(result.earnedShare("urgent")).as("%s", result).isGreaterThan(MINIMUM_OVERLOAD_SERVED);
		assertThat(result.earnedShare("nightly")).as("%s", result).isGreaterThan(MINIMUM_EARNED / 2);
		assertThat(result.servedShare()).as("%s", result).isGreaterThan(MINIMUM_OVERLOAD_SERVED);
	}

	@Test
	public void sameSeedGivesTheSameFigures() {
		FleetLoad load = FleetLoad.of("failing-workers");
		assertThat(FleetSimulation.run(load, SEED)).hasToString(FleetSimulation.run(load, SEED).toString());
	}

}
