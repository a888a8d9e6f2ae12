package io.verbenatrack.bench.fleet;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * Measures how exact the learned run times and worker speeds are, how soon a worker that
 * turned slow is noticed, and what learning costs.
 */
public final class RunForecastBench {

	private static final int WORKERS = 245;

	private static final int[] AFTER = { 20, 200, 2000 };

	private static final int WINDOW = 60;

	private static final int SEEDS = 3;

	private static final int[] SPEEDS_AT = { 3, 5, 8, 15, 30, 60 };

	private static final double SLOWDOWN = 0.2;

	private static final double SEEN = 0.45;

	private static final int TRIALS = 20;

	private static final int COST_WORKERS = 990;

	private static final int COST_RUNS = 100_000;

	/** Times the load of a fleet a quarter as large. */
	private static final double COST_LOAD = 8;

	private static final int FORECAST_PASSES = 200;

	private static final long MAX_SEEN_MILLIS = 10_000;

	private RunForecastBench() {
	}

	/**
	 * Measures both deployments.
	 * @param seed the seed of the samples
	 * @param out receives the figures
	 */
	public static void run(long seed, PrintStream out) {
		measure("flood", DrawnClass.floodWarning(), true, 0.03, seed, out);
		measure("heating", DrawnClass.heatingGrid(), false, 0, seed, out);
		measure("good", DrawnClass.goodEstimates(), false, 0, seed, out);
		measureCost(seed, out);
	}

	private static void measure(String name, List<DrawnClass> classes, boolean uneven, double stragglers, long seed,
			PrintStream out) {
		List<DrawnFleet.Sample> samples = new ArrayList<>();
		List<DrawnFleet.Sample> ofNewLeader = new ArrayList<>();
		for (int fleetSeed = 0; fleetSeed < SEEDS; fleetSeed++) {
			DrawnFleet fleet = new DrawnFleet(classes, WORKERS, uneven, stragglers, seed + fleetSeed);
			for (int second : SPEEDS_AT) {
				while (fleet.nowMillis() < second * 1000) {
					fleet.advance();
				}
				if (fleetSeed == 0) {
					printSpeeds(name, fleet, out);
				}
			}
			advance(fleet, AFTER[AFTER.length - 1] + WINDOW);
			samples.addAll(fleet.samples());
			int from = fleet.samples().size();
			fleet.changeLeader();
			advance(fleet, AFTER[AFTER.length - 1] + 2 * WINDOW);
			ofNewLeader.addAll(fleet.samples().subList(from, fleet.samples().size()));
			if (fleetSeed == 0) {
				printSpeeds(name, fleet, out);
				printDetection(name, fleet, out);
			}
		}
		for (int after : AFTER) {
			printErrors(name + " after " + after,
					samples.stream()
						.filter((sample) -> sample.number() >= after && sample.number() < after + WINDOW)
						.toList(),
					out);
		}
		printErrors(name + " new leader", ofNewLeader, out);
	}

	// Until enough runs of the rarest class have ended.
	private static void advance(DrawnFleet fleet, int ended) {
		while (fleet.endedOf("wide") < ended) {
			fleet.advance();
		}
	}

	private static void printErrors(String name, List<DrawnFleet.Sample> samples, PrintStream out) {
		for (String queue : List.of("urgent", "wide", "batch")) {
			List<DrawnFleet.Sample> ofQueue = samples.stream()
				.filter((sample) -> sample.queue().equals(queue) && !sample.straggler())
				.toList();
			if (!ofQueue.isEmpty()) {
				out.printf(Locale.ROOT, "%-20s %-7s n %4d  caller %.2f %.2f  forecast %.2f %.2f%n", name, queue,
						ofQueue.size(), quantile(ofQueue, 0.5, DrawnFleet.Sample::callerError),
						quantile(ofQueue, 0.9, DrawnFleet.Sample::callerError),
						quantile(ofQueue, 0.5, DrawnFleet.Sample::forecastError),
						quantile(ofQueue, 0.9, DrawnFleet.Sample::forecastError));
			}
		}
	}

	private static double quantile(List<DrawnFleet.Sample> samples, double share,
			ToDoubleFunction<DrawnFleet.Sample> value) {
		return quantile(samples.stream().mapToDouble(value).toArray(), share);
	}

	private static double quantile(double[] values, double share) {
		Arrays.sort(values);
		return values[(int) Math.min(values.length - 1, values.length * share)];
	}

	// The error of the speed relative to the median of the true speeds.
	private static void printSpeeds(String name, DrawnFleet fleet, PrintStream out) {
		double[] trueSpeeds = new double[fleet.size()];
		for (int worker = 0; worker < fleet.size(); worker++) {
			trueSpeeds[worker] = fleet.trueSpeed(worker);
		}
		double median = quantile(trueSpeeds.clone(), 0.5);
		double[] errors = new double[fleet.size()];
		for (int worker = 0; worker < fleet.size(); worker++) {
			errors[worker] = Math.abs(Math.log(fleet.speed(worker) * median / trueSpeeds[worker]));
		}
		out.printf(Locale.ROOT, "%-20s at %.1f s: error of speeds %.3f %.3f, runs in progress %d%n", name,
				fleet.nowMillis() / 1000.0, quantile(errors.clone(), 0.5), quantile(errors, 0.9), fleet.running());
	}

	private static void printDetection(String name, DrawnFleet fleet, PrintStream out) {
		double[] millis = new double[TRIALS];
		for (int trial = 0; trial < TRIALS; trial++) {
			int worker = (trial * 37 + 1) % fleet.size();
			while (fleet.runningOn(worker) < 3) {
				worker = (worker + 1) % fleet.size();
			}
			double before = fleet.speed(worker);
			fleet.setSpeed(worker, SLOWDOWN);
			long started = fleet.nowMillis();
			while (fleet.speed(worker) > SEEN * before && fleet.nowMillis() - started < MAX_SEEN_MILLIS) {
				fleet.advance();
			}
			millis[trial] = fleet.nowMillis() - started;
			fleet.setSpeed(worker, 1 / SLOWDOWN);
		}
		out.printf(Locale.ROOT, "%-20s 5 times slower seen after %.0f ms (median), %.0f ms (0.9), %.0f ms (longest)%n",
				name, quantile(millis.clone(), 0.5), quantile(millis.clone(), 0.9), quantile(millis, 1));
	}

	private static void measureCost(long seed, PrintStream out) {
		List<DrawnClass> classes = DrawnClass.floodWarning()
			.stream()
			.map((drawn) -> drawn.withRate(COST_LOAD * drawn.perSecond()))
			.toList();
		DrawnFleet fleet = new DrawnFleet(classes, COST_WORKERS, true, 0.03, seed);
		while (fleet.ended() < COST_RUNS) {
			fleet.advance();
		}
		double seconds = fleet.nowMillis() / 1000.0;
		double[] sweeps = fleet.sweepMillis();
		out.printf(Locale.ROOT,
				"cost: %d workers, %d runs ended in %.0f s, %d in progress; %.1f us a report, "
						+ "%.1f ms (median) %.1f ms (0.99) a comparison of all runs%n",
				COST_WORKERS, fleet.ended(), seconds, fleet.running(), fleet.observeNanos() / 1000.0 / fleet.reports(),
				quantile(sweeps.clone(), 0.5), quantile(sweeps, 0.99));
		out.printf(Locale.ROOT, "cost: summaries %.0f bytes a second, longest %d bytes%n",
				fleet.summaryBytes() / seconds, fleet.longestSummaryBytes());
		long started = System.nanoTime();
		long sum = 0;
		for (int pass = 0; pass < FORECAST_PASSES; pass++) {
			sum += fleet.forecastAll();
		}
		out.printf(Locale.ROOT, "cost: %.0f ns a remaining time, %.1f s on average%n",
				(System.nanoTime() - started) / (double) FORECAST_PASSES / fleet.running(),
				sum / 1000.0 / FORECAST_PASSES / fleet.running());
		long with = usedBytes();
		fleet.forgetObserver();
		out.printf(Locale.ROOT, "cost: heap of the observer %.2f MB%n", (with - usedBytes()) / 1e6);
	}

	private static long usedBytes() {
		for (int collection = 0; collection < 3; collection++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	/**
	 * Runs the measurement.
	 * @param args the seed
	 */
	public static void main(String[] args) {
		run((args.length > 0) ? Long.parseLong(args[0]) : 1, System.out);
	}

}
