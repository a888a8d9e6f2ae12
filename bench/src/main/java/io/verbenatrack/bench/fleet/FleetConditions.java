package io.verbenatrack.bench.fleet;

import java.util.Map;
import java.util.OptionalDouble;

import io.verbenatrack.fleet.model.Resources;

/**
 * Properties of the workers and of the callers' estimates in a load pattern.
 *
 * @param capacity the resources of each worker
 * @param zones the number of availability zones, each with an equal share of the workers
 * @param workersPerRack the number of workers in a rack
 * @param speeds the distribution of worker speeds
 * @param stragglers the tasks that take longer than comparable ones
 * @param estimateSpreads the standard deviation of the logarithm of the estimate relative
 * to the actual run time, by job class; classes without an entry have
 * {@link #USUAL_ESTIMATE_SPREAD}
 * @param restartSecond when all machines lose power and the runs of all workers are lost,
 * in seconds; a new leader then takes over
 */
record FleetConditions(Resources capacity, int zones, int workersPerRack, Speeds speeds, Stragglers stragglers,
		Map<String, Double> estimateSpreads, OptionalDouble restartSecond) {

	static final double USUAL_ESTIMATE_SPREAD = 0.2;

	/** Three zones, one of them slower, and estimates that are roughly right. */
	static final FleetConditions USUAL = new FleetConditions(new Resources(64_000, 262_144, 8), 3, 8, Speeds.SLOW_ZONE,
			Stragglers.NONE, Map.of(), OptionalDouble.empty());

	FleetConditions {
		estimateSpreads = Map.copyOf(estimateSpreads);
	}

	double estimateSpread(JobClass jobClass) {
		return this.estimateSpreads.getOrDefault(jobClass.name(), USUAL_ESTIMATE_SPREAD);
	}

	/** Distributions of worker speeds. */
	enum Speeds {

		/** All workers run at the nominal speed. */
		UNIFORM,

		/** The workers of the third zone take 1.3 times as long. */
		SLOW_ZONE,

		/** Every fourth worker runs at 0.55 of the nominal speed, the others at 1.2. */
		SLOW_FOURTH;

		double slowdown(int worker, int zone) {
			return switch (this) {
				case UNIFORM -> 1;
				case SLOW_ZONE -> (zone == 2) ? 1.3 : 1;
				case SLOW_FOURTH -> (worker % 4 == 3) ? 1 / 0.55 : 1 / 1.2;
			};
		}

	}

	/**
	 * Tasks that take longer than estimated on any worker. The members of a gang run in
	 * lockstep, so a gang is one straggler as a whole.
	 *
	 * @param share the share of stragglers, from 0 to 1
	 * @param factor the multiplier on their run time
	 */
	record Stragglers(double share, double factor) {

		static final Stragglers NONE = new Stragglers(0, 1);

	}

}
