package io.verbenatrack.bench.routing;

import java.time.Duration;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the routing goals on a short simulation.
 */
public class RoutingBenchTests {

	private static final long SEED = 42;

	private static final RoutingBenchOptions SHORT = new RoutingBenchOptions(SEED, Duration.ofSeconds(3), 100);

	@Test
	public void goodputHoldsAtTwiceTheCapacity() {
		RoutingReport.Load load = RoutingBench.load(SHORT, SimulatedFleet.Strategy.VERBENATRACK, 2);
		assertThat(load.goodput()).as("seed " + SEED).isGreaterThanOrEqualTo(0.95);
		assertThat(load.refusalP99Millis()).as("seed " + SEED).isLessThanOrEqualTo(50);
	}

	@Test
	public void retriesStayWithinTheirBudget() {
		RoutingReport.BrownOut brownOut = RoutingBench.brownOut(SHORT, SimulatedFleet.Strategy.VERBENATRACK);
		assertThat(brownOut.attemptsPerRequest()).as("seed " + SEED).isLessThanOrEqualTo(1.1);
	}

	@Test
	public void accountWithExcessLoadTakesNothingFromTheOthers() {
		assertThat(RoutingBench.fairness(SHORT)).as("seed " + SEED).isGreaterThanOrEqualTo(0.95);
	}

	@Test
	public void leavingTargetReceivesNoRequestsAfterTwoSeconds() {
		assertThat(RoutingBench.withdrawals(SEED)).filteredOn((withdrawal) -> withdrawal.event().startsWith("leaving"))
			.allSatisfy(
					(withdrawal) -> assertThat(withdrawal.millis()).as(withdrawal.event()).isLessThanOrEqualTo(2000));
	}

}
