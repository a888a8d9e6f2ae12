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

	private static final List<Integer> CLAIMS = List.of(1_000, 4_000, 16_000);

	private static final List<Integer> CHANGES = List.of(80, 160, 320);

	private static final int OPTION_ARGUMENTS = 3;

	private final Points points = new Points();

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
		List<Measurement> measurements = bench.points.measurements();
		return new CapacityReport(measurements, Budgets.of(measurements), bench.failures);
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
		List<ServedInstance> instances = processes.stream()
			.filter((text) -> text.contains("@"))
			.map(ServedInstance::parse)
			.toList();
		Duration window = Duration.ofMillis(Long.parseLong(args[2]));
		CapacityReport report = run(CapacityOptions.STANDARD.with(window, idle, instances));
		new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValue(Path.of(args[0]).toFile(), report);
		PageTables.write(Path.of(args[1]), report);
		System.out.print(report.toText());
		System.exit(report.failures().isEmpty() ? 0 : 1);
	}

	private void measure() {
		for (long pid : this.options.idleProcesses()) {
			attempt("idle process", () -> MemoryProbe.record(this.points, "idle Java process", "workers", 0, pid));
		}
		for (ServedInstance instance : this.options.instances()) {
			attempt("instance " + instance.pid(), () -> new InstanceProbe(this.points, this.options).run(instance));
		}
		attempt("warm-up of decisions", () -> new DecisionProbe(new Points()).run(this.options.workers().getFirst()));
		for (int run = 0; run < this.options.runs(); run++) {
			this.options.workers()
				.forEach((workers) -> attempt("decisions", () -> new DecisionProbe(this.points).run(workers)));
			CLAIMS.forEach((count) -> attempt("claims", () -> new StateProbe(this.points).claims(count)));
			CHANGES.forEach((count) -> attempt("changes", () -> new StateProbe(this.points).changes(count)));
			this.options.workers()
				.forEach((workers) -> attempt("relay", () -> new StateProbe(this.points).relay(workers)));
		}
		this.options.replicas()
			.forEach((replicas) -> attempt("log of " + replicas + " replicas",
					() -> new LogProbe(this.points, this.options).run(replicas)));
	}

	// Records the failure of one part, so that the other parts still run.
	private void attempt(String part, Part measured) {
		try {
			measured.run();
		}
		catch (Exception ex) {
			this.failures.add(part + ": " + ex);
		}
	}

	/** A part of the bench. */
	private interface Part {

		void run() throws Exception;

	}

}
