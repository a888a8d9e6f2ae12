package io.verbenatrack.bench.routing;

import java.time.Duration;

/**
 * Options of the routing bench.
 *
 * @param seed the seed of all random choices
 * @param simulated the virtual time over which each load is measured
 * @param loopbackCalls the number of calls in each loopback measurement
 */
public record RoutingBenchOptions(long seed, Duration simulated, int loopbackCalls) {

	/**
	 * Returns the options of a full run.
	 * @param seed the seed of all random choices
	 * @return the options
	 */
	public static RoutingBenchOptions full(long seed) {
		return new RoutingBenchOptions(seed, Duration.ofSeconds(5), 4000);
	}

}
