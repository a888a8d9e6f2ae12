package io.verbenatrack.bench.fleet;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the fleet scheduling policy under heavy load patterns.
 */
public class FleetRunTests {

	/** Minimum earned share of the available credit under any load pattern. */
	private static final double EARNED = 0.75;

	/**
	 * Minimum earned share under the calm load pattern, where only wrong estimates cost
	 * credit.
	 */
	private static final double CALM_EARNED = 0.9;

	private static final double SERVED = 0.9;

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
	public void loadIsServedWithoutABrokenPromise(FleetLoad load) {
		FleetFigures figures = FleetRun.play(load, SEED);
		assertThat(figures.violations()).isEmpty();
		assertThat(figures.earnedShare()).as("%s", figures)
			.isGreaterThan(load.name().equals("calm") ? CALM_EARNED : EARNED);
		assertThat(figures.servedShare()).as("%s", figures).isGreaterThan(SERVED);
	}

	@Test
	public void wideGangsAreNotStarvedByABurstOfUrgentJobs() {
		FleetFigures figures = FleetRun.play(FleetLoad.of("urgent-burst"), SEED);
		assertThat(figures.earnedShare("urgent")).as("%s", figures).isGreaterThan(EARNED);
		assertThat(figures.earnedShare("nightly")).as("%s", figures).isGreaterThan(EARNED / 2);
	}

	/** Minimum share of jobs served by an overloaded fleet. */
	private static final double OVERLOAD_SERVED = 0.85;

	@Test
	public void wideGangsOfALargeFleetAreServedBesideABurstAndLostWorkers() {
		FleetFigures figures = FleetRun.play(FleetLoad.of("wide-burst"), SEED);
		assertThat(figures.violations()).isEmpty();
		assertThat(figures.earnedShare()).as("%s", figures).isGreaterThan(EARNED);
		assertThat(figures.earnedShare("urgent")).as("%s", figures).isGreaterThan(OVERLOAD_SERVED);
		assertThat(figures.earnedShare("nightly")).as("%s", figures).isGreaterThan(EARNED / 2);
		assertThat(figures.servedShare()).as("%s", figures).isGreaterThan(OVERLOAD_SERVED);
	}

	@Test
	public void sameSeedGivesTheSameFigures() {
		FleetLoad load = FleetLoad.of("failing-workers");
		assertThat(FleetRun.play(load, SEED)).hasToString(FleetRun.play(load, SEED).toString());
	}

}
