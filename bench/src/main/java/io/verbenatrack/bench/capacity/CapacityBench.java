package io.verbenatrack.bench.capacity;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;

/**
 * Measures the resource costs of workers, jobs, claims and replicas, and computes the
 * load at the target fleet size.
 */
public final class CapacityBench {

	private static final List<Integer> CLAIM_COUNTS = List.of(1_000, 4_000, 16_000);

	private static final List<Integer> CHANGE_COUNTS = List.of(80, 160, 320);

	private static final int OPTION_ARGUMENTS = 3;

	private final MeasurementCollector collector = new MeasurementCollector();

	private final List<String> failures = new ArrayList<>();

	private final CapacityOptions options;

	private CapacityBench(CapacityOptions options) {
		this.options = options;
	}

	/**
	 * Runs the bench.
	 * @param options the sizes, runs and instances to measure
	 * @return the measurements and the budgets computed from them
	 */
	public static CapacityReport run(CapacityOptions options) {
		CapacityBench bench = new CapacityBench(options);
		bench.measure();
		List<Measurement> measurements = bench.collector.measurements();
		return new CapacityReport(measurements, BudgetCalculator.calculate(measurements), bench.failures);
	}

	/**
	 * Runs the bench, and writes the report to a JSON file and into the tables of a page.
	 * @param args the JSON output file, the Markdown page whose tables are replaced, the
	 * measurement window in milliseconds, and then any number of processes: an idle
	 * process as its process id, an instance as process id and URL separated by "@"
	 * @throws Exception if a file cannot be read or written
	 */
	public static void main(String[] args) throws Exception {
		List<String> processes = Arrays.stream(args).skip(OPTION_ARGUMENTS).toList();
		List<Long> idle = processes.stream().filter((text) -> !text.contains("@")).map(Long::valueOf).toList();
		List<InstanceProcess> instances = processes.stream()
			.filter((text) -> text.contains("@"))
			.map(InstanceProcess::parse)
			.toList();
		Duration window = Duration.ofMillis(Long.parseLong(args[2]));
		CapacityReport report = run(CapacityOptions.STANDARD.with(window, idle, instances));
		new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValue(Path.of(args[0]).toFile(), report);
		MarkdownTables.write(Path.of(args[1]), report);
		System.out.print(report.toText());
		System.exit(report.failures().isEmpty() ? 0 : 1);
	}

	private void measure() {
		for (long pid : this.options.idleProcesses()) {
			runPart("idle process", () -> MemoryProbe.record(this.collector, "idle Java process", "workers", 0, pid));
		}
		for (InstanceProcess instance : this.options.instances()) {
			runPart("instance " + instance.pid(), () -> new InstanceProbe(this.collector, this.options).run(instance));
		}
		runPart("warm-up of decisions",
				() -> new DecisionProbe(new MeasurementCollector()).run(this.options.workers().getFirst()));
		for (int run = 0; run < this.options.runs(); run++) {
			this.options.workers()
				.forEach((workers) -> runPart("decisions", () -> new DecisionProbe(this.collector).run(workers)));
			CLAIM_COUNTS
				.forEach((count) -> runPart("claims", () -> new StateProbe(this.collector).measureClaims(count)));
			CHANGE_COUNTS
				.forEach((count) -> runPart("changes", () -> new StateProbe(this.collector).measureChanges(count)));
			this.options.workers()
				.forEach((workers) -> runPart("relay", () -> new StateProbe(this.collector).measureRelay(workers)));
		}
		this.options.replicas()
			.forEach((replicas) -> runPart("log of " + replicas + " replicas",
					() -> new LogProbe(this.collector, this.options).run(replicas)));
	}

	// Records the failure of one part, so that the other parts still run.
	private void runPart(String part, BenchPart body) {
		try {
			body.run();
		}
		catch (Exception ex) {
			this.failures.add(part + ": " + ex);
		}
	}

	/** A part of the bench. */
	private interface BenchPart {

		void run() throws Exception;

	}

}
