package io.verbenatrack.bench.fleet;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

import org.testng.annotations.Test;

import io.verbenatrack.fleet.model.RunOutcome;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for load patterns with uneven workers, stragglers, wrong estimates, and the
 * restart of all machines.
 */
public class CompetingLoadTests {

	private static final long SEED = 11;

	// Guards against a load whose estimates or stragglers silently have no effect.
	@Test
	public void estimatesAndStragglersFollowTheConditions() {
		FleetLoad load = calmLoad(new FleetConditions.Stragglers(0.5, 7), Map.of("nightly", 0.9),
				OptionalDouble.empty());
		List<ArrivingJob> gangs = ArrivalGenerator.generate(load, SEED, 5)
			.stream()
			.filter((job) -> job.jobClass().name().equals("nightly"))
			.toList();
		assertThat(gangs).filteredOn((job) -> job.longestMillis() > 3 * job.jobClass().workMillis())
			.hasSizeBetween(gangs.size() / 4, gangs.size() * 3 / 4)
			.allSatisfy((job) -> assertThat(job.workMillis()).containsOnly(job.longestMillis()))
			.allSatisfy((job) -> assertThat(job.objectiveMillis()).isGreaterThan(3 * job.longestMillis()));
		assertThat(gangs).filteredOn((job) -> job.longestMillis() < 3 * job.jobClass().workMillis())
			.anySatisfy((job) -> assertThat(job.plan().steps().getFirst().estimatedMillis())
				.isLessThan(job.longestMillis() / 2));
	}

	// Guards against runs that survive the loss of power, or jobs that are lost with it.
	@Test
	public void jobsCompleteAfterTheRestartOfAllMachines() {
		FleetLoad load = calmLoad(FleetConditions.Stragglers.NONE, Map.of(), OptionalDouble.of(10));
		FleetResult result = FleetSimulation.run(load, SEED);
		assertThat(result.violations()).isEmpty();
		assertThat(result.runs().ended(RunOutcome.LOST)).isPositive();
		assertThat(result.servedShare()).as("%s", result).isGreaterThan(0.9);
	}

	// Guards against slow workers that run as fast as the others.
	@Test
	public void everyFourthWorkerIsSlow() {
		FleetConditions.Speeds speeds = FleetConditions.Speeds.SLOW_FOURTH;
		assertThat(speeds.slowdown(3, 0) / speeds.slowdown(4, 0)).isBetween(2.18, 2.19);
	}

	private static FleetLoad calmLoad(FleetConditions.Stragglers stragglers, Map<String, Double> spreads,
			OptionalDouble restartSecond) {
		FleetLoad calm = FleetLoad.of("calm");
		FleetConditions usual = calm.conditions();
		return new FleetLoad("test", calm.seconds(), calm.factor(), calm.classes(), calm.bursts(), calm.workerFaults(),
				calm.size(), new FleetConditions(usual.capacity(), usual.zones(), usual.workersPerRack(),
						usual.speeds(), stragglers, spreads, restartSecond));
	}

}
