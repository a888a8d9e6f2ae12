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

import io.verbenatrack.bench.scheduling.FleetShape;
import io.verbenatrack.bench.scheduling.SchedulingBench;
import io.verbenatrack.bench.scheduling.SchedulingBenchOptions;
import io.verbenatrack.bench.scheduling.SchedulingBenchReport;
import io.verbenatrack.bench.scheduling.Workload;
import io.verbenatrack.state.RecordCodec;

/**
 * Measures the decisions on seeded arrivals, without a network.
 */
record BenchCommand() implements Command {

	private static final String SEED = "seed";

	private static final String JSON = "json";

	private static final String WORKERS = "workers";

	private static final String JOBS = "jobs";

	private static final String WORKLOAD = "workload";

	private static final long DEFAULT_SEED = 1;

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
			.addOption(CommandOptions.optional(WORKLOAD, "NAME", "one workload; all of them unless given"));
	}

	@Override
	public List<String> subjects() {
		return List.of("scheduling");
	}

	@Override
	public List<String> examples() {
		return List.of("bench scheduling --workload catering-day --seed 7 --json figures.json");
	}

	@Override
	public ExitCode run(CommandLine line, Console console) throws UsageException {
		long seed = CommandOptions.number(line, SEED, DEFAULT_SEED);
		SchedulingBenchReport report = SchedulingBench.run(options(line, seed));
		console.out().print(report.toText());
		if (line.hasOption(JSON)) {
			write(line.getOptionValue(JSON), report);
		}
		return ExitCode.DONE;
	}

	private static SchedulingBenchOptions options(CommandLine line, long seed) throws UsageException {
		int workers = count(line, WORKERS, DEFAULT_WORKERS);
		int jobs = count(line, JOBS, DEFAULT_JOBS);
		try {
			return new SchedulingBenchOptions(seed, workers, jobs, FleetShape.CATERING, workloads(line));
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
