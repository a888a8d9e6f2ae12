package io.verbenatrack.bench.fleet;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

/**
 * Runs load patterns on simulated workers and prints the results.
 */
public final class FleetBench {

	private FleetBench() {
	}

	/**
	 * Runs load patterns.
	 * @param loads the load patterns
	 * @param seed the first seed
	 * @param seeds the number of consecutive seeds
	 * @param out receives one line for each load pattern
	 * @return whether all runs ended without violations
	 */
	public static boolean run(List<FleetLoad> loads, long seed, int seeds, PrintStream out) {
		boolean valid = true;
		double total = 0;
		for (FleetLoad load : loads) {
			double earned = 0;
			double served = 0;
			double net = 0;
			for (long runSeed = seed; runSeed < seed + seeds; runSeed++) {
				FleetResult result = FleetSimulation.run(load, runSeed);
				earned += result.earnedShare() / seeds;
				served += result.servedShare() / seeds;
				net += result.netShare() / seeds;
				valid &= result.violations().isEmpty();
				result.violations().forEach((line) -> out.println("VIOLATION " + load.name() + ": " + line));
				if (seeds == 1) {
					out.println(load.name() + " " + result);
				}
			}
			total += net;
			out.printf(Locale.ROOT, "%-16s earned %.3f net %.3f served %.3f%n", load.name(), earned, net, served);
		}
		out.printf(Locale.ROOT, "mean net %.3f%n", total / loads.size());
		return valid;
	}

	/**
	 * Runs all load patterns or a single one.
	 * @param args the name of a load pattern or "all", the first seed, and the number of
	 * seeds
	 */
	public static void main(String[] args) {
		List<FleetLoad> loads = args[0].equals("all") ? FleetLoad.all() : List.of(FleetLoad.of(args[0]));
		System.exit(run(loads, Long.parseLong(args[1]), Integer.parseInt(args[2]), System.out) ? 0 : 1);
	}

}
