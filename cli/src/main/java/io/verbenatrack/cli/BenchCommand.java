package io.verbenatrack.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import io.verbenatrack.bench.control.ControlBench;
import io.verbenatrack.bench.control.ControlBenchOptions;
import io.verbenatrack.bench.control.ControlBenchReport;
import io.verbenatrack.bench.fleet.FleetBench;
import io.verbenatrack.bench.fleet.FleetLoad;
import io.verbenatrack.bench.routing.RoutingBench;
import io.verbenatrack.bench.routing.RoutingBenchOptions;
import io.verbenatrack.bench.routing.RoutingReport;
import io.verbenatrack.bench.scheduling.FleetShape;
import io.verbenatrack.bench.scheduling.SchedulingBench;
import io.verbenatrack.bench.scheduling.SchedulingBenchOptions;
import io.verbenatrack.bench.scheduling.SchedulingBenchReport;
import io.verbenatrack.bench.scheduling.Workload;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.state.RecordCodec;

/**
 * Runs one of the benchmarks on a seeded workload.
 */
record BenchCommand() implements Command {

	private static final String SEED = "seed";

	private static final String JSON = "json";

	private static final String WORKERS = "workers";

	private static final String JOBS = "jobs";

	private static final String WORKLOAD = "workload";

	private static final String SHAPE = "shape";

	private static final String SCHEDULES = "schedules";

	private static final long DEFAULT_SEED = 1;

	private static final long DEFAULT_SCHEDULES = 1000;

	private static final long DEFAULT_WORKERS = 30;

	private static final long DEFAULT_JOBS = 400;

	private static final long MAXIMUM_COUNT = 1_000_000;

	@Override
	public String name() {
		return "bench";
	}

	@Override
	public String summary() {
		return "Measures the decisions on seeded arrivals; the same seed gives the same decisions.";
	}

	@Override
	public Options options() {
		return new Options().addOption(CommandOptions.optional(SEED, "N", "seed of the arrivals; 1 unless given"))
			.addOption(CommandOptions.optional(JSON, "FILE", "file that gets the figures as JSON"))
			.addOption(CommandOptions.optional(WORKERS, "N", "workers of 8 accelerators; 30 unless given"))
			.addOption(CommandOptions.optional(JOBS, "N", "jobs of each workload; 400 unless given"))
			.addOption(CommandOptions.optional(WORKLOAD, "NAME", "one workload; all of them unless given"))
			.addOption(CommandOptions.optional(SHAPE, "NAME", "catering, refresher or target; catering unless given"))
			.addOption(
					CommandOptions.optional(SCHEDULES, "K", "fault schedules of the control log; 1000 unless given"));
	}

	@Override
	public List<String> positionals() {
		return List.of("scheduling", "routing", "control", "fleet");
	}

	@Override
	public List<String> examples() {
		return List.of("bench scheduling --workload catering-day --seed 7 --json figures.json",
				"bench routing --seed 7 --json figures.json", "bench control --seed 7 --schedules 1000",
				"bench fleet --seed 7 --workload urgent-burst");
	}

	@Override
	public ExitCode run(CommandLine line, Console console) throws UsageException {
		long seed = CommandOptions.number(line, SEED, DEFAULT_SEED);
		return switch (line.getArgList().getLast()) {
			case "routing" -> routing(line, console, seed);
			case "control" -> control(line, console, seed);
			case "fleet" -> fleet(line, console, seed);
			default -> scheduling(line, console, seed);
		};
	}

	private static ExitCode scheduling(CommandLine line, Console console, long seed) throws UsageException {
		SchedulingBenchReport report = SchedulingBench.run(options(line, seed));
		return finish(line, console, report.toText(), report);
	}

	private static ExitCode routing(CommandLine line, Console console, long seed) throws UsageException {
		try {
			RoutingReport report = RoutingBench.run(RoutingBenchOptions.full(seed));
			return finish(line, console, report.toText(), report);
		}
		catch (UsageException ex) {
			throw ex;
		}
		catch (Exception ex) {
			return console.fail(new Problem(ProblemKind.UNAVAILABLE, "The bench stopped: " + ex.getMessage() + ".",
					"Check that loopback ports are free."), ExitCode.USAGE);
		}
	}

	private static ExitCode control(CommandLine line, Console console, long seed) throws UsageException {
		try {
			Path folder = Files.createTempDirectory("verbenatrack-bench");
			ControlBenchReport report = ControlBench.run(new ControlBenchOptions(seed,
					count(line, SCHEDULES, DEFAULT_SCHEDULES), ControlBenchOptions.DEFAULT_THREADS, folder));
			String text = RecordCodec.json().mapper().writerWithDefaultPrettyPrinter().writeValueAsString(report);
			finish(line, console, text + "\n", report);
			return report.violations().isEmpty() ? ExitCode.DONE : ExitCode.REFUSED;
		}
		catch (IOException ex) {
			throw new UsageException("No temporary folder can be made: " + ex.getMessage() + ".",
					"Free some space in the temporary folder.");
		}
	}

	private static ExitCode fleet(CommandLine line, Console console, long seed) throws UsageException {
		try {
			List<FleetLoad> loads = line.hasOption(WORKLOAD) ? List.of(FleetLoad.of(line.getOptionValue(WORKLOAD)))
					: FleetLoad.all();
			return FleetBench.run(loads, seed, 1, console.out()) ? ExitCode.DONE : ExitCode.REFUSED;
		}
		catch (IllegalArgumentException ex) {
			throw new UsageException("The option --workload has '" + line.getOptionValue(WORKLOAD) + "'.",
					ex.getMessage());
		}
	}

	private static ExitCode finish(CommandLine line, Console console, String text, Object report)
			throws UsageException {
		console.out().print(text);
		if (line.hasOption(JSON)) {
			write(line.getOptionValue(JSON), report);
		}
		return ExitCode.DONE;
	}

	private static FleetShape shape(CommandLine line) throws UsageException {
		String name = line.getOptionValue(SHAPE, "catering");
		for (FleetShape shape : FleetShape.values()) {
			if (shape.name().toLowerCase(Locale.ROOT).equals(name)) {
				return shape;
			}
		}
		throw new UsageException("The option --shape has '" + name + "'.", "Give one of catering, refresher, target.");
	}

	private static SchedulingBenchOptions options(CommandLine line, long seed) throws UsageException {
		int workers = count(line, WORKERS, DEFAULT_WORKERS);
		int jobs = count(line, JOBS, DEFAULT_JOBS);
		try {
			return new SchedulingBenchOptions(seed, workers, jobs, shape(line), workloads(line));
		}
		catch (IllegalArgumentException ex) {
			throw new UsageException("The bench has no such size.", ex.getMessage());
		}
	}

	private static Set<Workload> workloads(CommandLine line) throws UsageException {
		EnumSet<Workload> all = EnumSet.allOf(Workload.class);
		if (!line.hasOption(WORKLOAD)) {
			return all;
		}
		String name = line.getOptionValue(WORKLOAD);
		List<String> known = all.stream().map(BenchCommand::optionValue).toList();
		if (!known.contains(name)) {
			throw new UsageException("The option --workload has '" + name + "'.",
					"Give one of " + String.join(", ", known) + ".");
		}
		return EnumSet
			.of(all.stream().filter((workload) -> optionValue(workload).equals(name)).findFirst().orElseThrow());
	}

	private static String optionValue(Workload workload) {
		return workload.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	private static int count(CommandLine line, String option, long fallback) throws UsageException {
		long count = CommandOptions.number(line, option, fallback);
		if (count < 1 || count > MAXIMUM_COUNT) {
			throw new UsageException("The option --" + option + " has '" + count + "'.",
					"Give a number from 1 to " + MAXIMUM_COUNT + ".");
		}
		return (int) count;
	}

	private static void write(String file, Object report) throws UsageException {
		try {
			Files.write(Path.of(file), RecordCodec.json().mapper().writeValueAsBytes(report));
		}
		catch (IOException | InvalidPathException ex) {
			throw new UsageException("The file '" + file + "' cannot be written.",
					"Name a file in a folder that exists.");
		}
	}

}
