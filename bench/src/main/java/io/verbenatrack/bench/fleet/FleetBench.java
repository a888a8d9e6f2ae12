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
	 * @param out receives two lines for each load pattern
	 * @return whether all runs ended without violations
	 */
	public static boolean run(List<FleetLoad> loads, long seed, int seeds, PrintStream out) {
		boolean valid = true;
		double total = 0;
		for (FleetLoad load : loads) {
			double earned = 0;
			double served = 0;
			double net = 0;
			FleetFigures figures = new FleetFigures();
			for (long runSeed = seed; runSeed < seed + seeds; runSeed++) {
				FleetResult result = FleetSimulation.run(load, runSeed);
				figures.add(result);
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
			out.println("  " + figures);
		}
		out.printf(Locale.ROOT, "mean net %.3f%n", total / loads.size());
		return valid;
	}

	/**
	 * Runs several load patterns or a single one.
	 * @param args the name of a load pattern, "all" for those of {@link FleetLoad#all} or
	 * "competing" for those of {@link FleetLoad#competing}; the first seed; and the
	 * number of seeds
	 */
	public static void main(String[] args) {
		List<FleetLoad> loads = switch (args[0]) {
			case "all" -> FleetLoad.all();
			case "competing" -> FleetLoad.competing();
			default -> List.of(FleetLoad.of(args[0]));
		};
		System.exit(run(loads, Long.parseLong(args[1]), Integer.parseInt(args[2]), System.out) ? 0 : 1);
	}

}
