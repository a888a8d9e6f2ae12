package io.verbenatrack.bench.fleet;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

import io.verbenatrack.fleet.model.Resources;

/**
 * Load patterns of large fleets on which urgent, wide and batch jobs compete: workers of
 * different speeds, wrong estimates, and the restart of all machines.
 */
final class CompetingLoads {

	private static final int[] GANG_ACCELERATORS = { 1, 2, 4, 8, 8 };

	private static final int[] ONE_ACCELERATOR = { 1 };

	/** Batch jobs with 1.3 steps on average count as 1.3 jobs of one step. */
	private static final double BATCH_STEPS = 1.3;

	private static final FleetLoad.Size SIZE = new FleetLoad.Size(245, 10, 120, 14, 12, 30);

	private static final List<JobClass> FLOOD_WARNING = List.of(
			new JobClass("urgent", 0, 6.8, 2100, 0.5, 5, 32, 15_000, 16_000, GANG_ACCELERATORS, true, 0.8, 0, 1.5, 800,
					4, 0.8),
			new JobClass("nightly", 1, 1.3, 7200, 0.3, 13, 78, 52_000, 70_000, GANG_ACCELERATORS, true, 0.6, 0.45, 3,
					1500, 3, 0.9),
			new JobClass("batch", 2, 1 * BATCH_STEPS, 8100, 0.3, 39, 230, 11_000, 15_000, ONE_ACCELERATOR, false, 0,
					0.45, 3, 4000, 1, 0.3));

	private static final List<JobClass> HEATING_GRID = List.of(
			new JobClass("urgent", 0, 4, 2500, 0.5, 5, 32, 7500, 39_000, GANG_ACCELERATORS, true, 0.8, 0, 1.5, 800, 4,
					0.8),
			new JobClass("nightly", 1, 1.5, 6800, 0.3, 13, 78, 26_000, 140_000, GANG_ACCELERATORS, true, 0.6, 0.45, 3,
					1500, 3, 0.9),
			new JobClass("batch", 2, 0.9 * BATCH_STEPS, 9500, 0.3, 39, 230, 5600, 29_000, ONE_ACCELERATOR, false, 0,
					0.45, 3, 4000, 1, 0.3));

	private static final FleetConditions UNEVEN_WORKERS = new FleetConditions(new Resources(128_000, 262_144, 8), 4, 20,
			FleetConditions.Speeds.SLOW_FOURTH, new FleetConditions.Stragglers(0.03, 7), Map.of("urgent", 0.5),
			OptionalDouble.empty());

	private CompetingLoads() {
	}

	static List<FleetLoad> all() {
		return List.of(
				new FleetLoad("uneven-workers", 34, 1, FLOOD_WARNING,
						List.of(new FleetLoad.Burst("urgent", 6, 6, 2.2), new FleetLoad.Burst("nightly", 8, 3.5, 2.5)),
						List.of(), SIZE, UNEVEN_WORKERS),
				new FleetLoad("wrong-estimates", 34, 1, HEATING_GRID, List.of(new FleetLoad.Burst("batch", 8, 5, 2.5)),
						List.of(), SIZE, heatingGrid(Map.of("nightly", 0.9, "batch", 0.5), OptionalDouble.empty())),
				new FleetLoad("restart-of-all", 34, 1, HEATING_GRID, List.of(), List.of(), SIZE,
						heatingGrid(Map.of(), OptionalDouble.of(10))));
	}

	private static FleetConditions heatingGrid(Map<String, Double> estimateSpreads, OptionalDouble restartSecond) {
		return new FleetConditions(new Resources(64_000, 262_144, 8), 3, 8, FleetConditions.Speeds.UNIFORM,
				FleetConditions.Stragglers.NONE, estimateSpreads, restartSecond);
	}

}
