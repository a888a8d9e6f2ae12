package io.verbenatrack.bench.routing;

import java.time.Duration;

/**
 * How to run the routing bench.
 *
 * @param seed the seed of all chance
 * @param simulated how much virtual time each load is measured for
 * @param loopbackCalls how many calls each overhead measurement makes
 */
public record RoutingBenchOptions(long seed, Duration simulated, int loopbackCalls) {

	/**
	 * The options of a full run.
	 * @param seed the seed of all chance
	 * @return the options
	 */
	public static RoutingBenchOptions full(long seed) {
		return new RoutingBenchOptions(seed, Duration.ofSeconds(5), 4000);
	}

}
