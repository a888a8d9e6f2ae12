package io.verbenatrack.bench.capacity;

import java.util.ArrayList;
import java.util.List;

import io.verbenatrack.bench.capacity.BudgetLine.Source;

/**
 * Computes the load of each traffic stream at the target fleet size from the
 * measurements.
 */
final class BudgetCalculator {

	static final double TRAFFIC_BUDGET_KB_PER_SECOND = 23;

	static final double CPU_BUDGET_PERCENT = 2.2;

	static final double MEMORY_BUDGET_MB = 64;

	private static final double NO_VALUE = Double.NaN;

	private static final int ENTRY_INSTANCES = 6;

	private static final int REPLICAS = 7;

	private static final int TASKS = 9_500;

	private static final double ANNOUNCEMENTS_PER_SECOND = SampleFleet.TARGET_WORKERS / 2.0;

	private static final double USAGE_INTERVAL_SECONDS = 30;

	private static final double SECONDS_PER_DAY = 86_400;

	private static final int CONFIGURATION_CHANGES_PER_DAY = 320;

	private static final int JOBS_PER_BURST = 2_000;

	private static final double BURST_SECONDS = 60;

	private static final int RETAINED_CLAIMS = 50_000;

	private static final double BYTES_PER_KB = 1_000;

	/**
	 * Framing bytes of a call and its reply: gRPC and HTTP/2 prefixes, TCP and IP
	 * headers, and one TCP acknowledgement.
	 */
	private static final int CALL_FRAMING = 2 * (5 + 9 + 52) + 52;

	private static final int DIGEST_BYTES = 32 + CALL_FRAMING;

	private static final double WORKER_CHANGES_PER_SECOND = 1;

	private static final double MICROS_PER_PERCENT = 10_000;

	private final MeasurementIndex measurements;

	private final List<BudgetLine> lines = new ArrayList<>();

	private BudgetCalculator(List<Measurement> measurements) {
		this.measurements = new MeasurementIndex(measurements);
	}

	static List<BudgetLine> calculate(List<Measurement> measurements) {
		BudgetCalculator calculator = new BudgetCalculator(measurements);
		calculator.addAnnouncements();
		calculator.addReports();
		calculator.addPlacements();
		calculator.addConfiguration();
		calculator.addLog();
		calculator.addSnapshots();
		calculator.addMemory();
		return List.copyOf(calculator.lines);
	}

	private void addAnnouncements() {
		String load = "announcements of workers every 2 s to one instance: ";
		double bytes = this.measurements.meanAtLargestSize(load + "size");
		double traffic = ANNOUNCEMENTS_PER_SECOND * bytes / BYTES_PER_KB;
		double cpu = this.measurements.meanAtLargestSize(load + "load");
		addTraffic("entry", "announcements", "at rest, " + ENTRY_INSTANCES + " entries", traffic / ENTRY_INSTANCES,
				"WorkerRoutes", Source.WORKED_OUT);
		addTraffic("entry", "announcements", "3 entries lost", traffic / (ENTRY_INSTANCES - 3), "WorkerRoutes",
				Source.WORKED_OUT);
		addCpu("entry and leader in one", "announcements", "all of the fleet at one instance", cpu, "WorkerRoutes",
				Source.MEASURED);
		double relayedBytes = this.measurements.meanAtLargestSize("relay of an announcement") + CALL_FRAMING;
		addTraffic("control leader", "leases", "each announcement relayed",
				ANNOUNCEMENTS_PER_SECOND * relayedBytes / BYTES_PER_KB, "LeaderGateway", Source.WORKED_OUT);
		double decisionMicros = this.measurements.meanAtLargestSize("decision on a renewed announcement");
		addCpu("control leader", "leases", "decisions only",
				ANNOUNCEMENTS_PER_SECOND * decisionMicros / MICROS_PER_PERCENT, "LeaderDuty", Source.WORKED_OUT);
		addTraffic("control leader", "leases", "design change: entries keep leases, send changes and a digest a second",
				(ENTRY_INSTANCES * DIGEST_BYTES + WORKER_CHANGES_PER_SECOND * relayedBytes) / BYTES_PER_KB,
				"WorkerLeases", Source.ASSUMED_RATE);
		addTraffic("control leader", "leases", "design change, a region's link lost: half of the fleet over 10 s",
				SampleFleet.TARGET_WORKERS / 2.0 * relayedBytes / 10 / BYTES_PER_KB, "WorkerLeases",
				Source.ASSUMED_RATE);
		addTraffic("entry", "announcements", "design change: one every 10 s under a lease of 30 s",
				SampleFleet.TARGET_WORKERS / 10.0 * bytes / ENTRY_INSTANCES / BYTES_PER_KB, "WorkerRoutes",
				Source.WORKED_OUT);
	}

	private void addReports() {
		double rate = TASKS / USAGE_INTERVAL_SECONDS;
		double loggedBytes = this.measurements.meanAtLargestSize("log of a usage report");
		String each = "each task every 30 s, each logged";
		addTraffic("control leader", "reports", each, rate * loggedBytes * (REPLICAS - 1) / BYTES_PER_KB,
				"SchedulingDecision", Source.ASSUMED_RATE);
		addTraffic("control follower", "reports", each, rate * loggedBytes / BYTES_PER_KB, "SchedulingDecision",
				Source.ASSUMED_RATE);
		addCpu("control leader", "reports", each,
				rate * this.measurements.meanAtLargestSize("decision on a usage report") / MICROS_PER_PERCENT,
				"LeaderDuty", Source.ASSUMED_RATE);
		addTraffic("control leader", "reports",
				"design change: progress logged on a checkpoint only, once an hour a job",
				SampleFleet.TARGET_JOBS / 3_600.0 * loggedBytes * (REPLICAS - 1) / BYTES_PER_KB, "SchedulingDecision",
				Source.ASSUMED_RATE);
	}

	private void addPlacements() {
		double job = this.measurements.meanAtLargestSize("log of a submitted and placed job");
		addTraffic("control leader", "placements", "at rest, 2,100 jobs a day",
				SampleFleet.TARGET_JOBS * job * (REPLICAS - 1) / SECONDS_PER_DAY / BYTES_PER_KB, "DecisionBatch",
				Source.WORKED_OUT);
		addTraffic("control leader", "placements", "burst of 2,000 jobs, sent within 60 s",
				JOBS_PER_BURST * job * (REPLICAS - 1) / BURST_SECONDS / BYTES_PER_KB, "DecisionBatch",
				Source.ASSUMED_RATE);
		addTraffic("control follower", "placements", "burst of 2,000 jobs, sent within 60 s",
				JOBS_PER_BURST * job / BURST_SECONDS / BYTES_PER_KB, "DecisionBatch", Source.ASSUMED_RATE);
		addCpu("control leader", "placements", "burst of 2,000 jobs over 60 s", JOBS_PER_BURST
				* this.measurements.meanAtLargestSize("decision on a job") / BURST_SECONDS / MICROS_PER_PERCENT,
				"GuaranteeScheduler", Source.ASSUMED_RATE);
		double member = this.measurements.meanAtLargestSize("log of a member's report");
		addTraffic("control leader", "placements",
				"an availability zone lost: a seventh of 9,500 tasks placed within 60 s",
				TASKS / 7.0 * (member * 3) * (REPLICAS - 1) / BURST_SECONDS / BYTES_PER_KB, "DecisionBatch",
				Source.ASSUMED_RATE);
		addTraffic("control leader", "placements", "a rack lost: 8 workers of 10 tasks each placed within 10 s",
				8 * 10 * (member * 3) * (REPLICAS - 1) / 10 / BYTES_PER_KB, "DecisionBatch", Source.ASSUMED_RATE);
		addCpu("control leader", "placements", "the passing of time, every 50 ms",
				20 * this.measurements.meanAtLargestSize("decision on the passing of time") / MICROS_PER_PERCENT,
				"LeaderDuty", Source.WORKED_OUT);
	}

	private void addConfiguration() {
		double change = this.measurements.meanAtLargestSize("log of a configuration change");
		addTraffic("control leader", "configuration", "at rest, 320 changes a day",
				CONFIGURATION_CHANGES_PER_DAY * change * (REPLICAS - 1) / SECONDS_PER_DAY / BYTES_PER_KB,
				"ConfigurationState", Source.WORKED_OUT);
		addTraffic("control leader", "configuration", "one change to 6 replicas within 14 s",
				change * (REPLICAS - 1) / 14 / BYTES_PER_KB, "ConfigurationState", Source.WORKED_OUT);
	}

	private void addLog() {
		Source source = Source.MEASURED;
		double leader = this.measurements.meanAtLargestSize("idle log: sent and received by the leader");
		addTraffic("control leader", "log", "at rest, 7 replicas", leader, "LeaderReplication", source);
		addTraffic("control follower", "log", "at rest, 7 replicas", leader / (REPLICAS - 1), "FollowerReplication",
				Source.WORKED_OUT);
		addTraffic("control leader", "log", "at rest, 3 replicas",
				this.measurements.meanAt("idle log: sent and received by the leader", 3), "LeaderReplication", source);
		addCpu("control follower", "log", "at rest, mean of 7 replicas in one process",
				this.measurements.meanAtLargestSize("idle log: processor time"), "ProtocolDuty", source);
		addTraffic("control leader", "log", "design change: heartbeats every 500 ms, 7 replicas", leader / 5,
				"ReplicaTimings", Source.WORKED_OUT);
	}

	private void addSnapshots() {
		double jobs = this.measurements.meanAtLargestSize("whole snapshot of workers and jobs");
		double claims = RETAINED_CLAIMS * this.measurements.meanAtLargestSize("snapshot of claims");
		double configuration = this.measurements.meanAtLargestSize("snapshot of the configuration");
		double all = jobs + claims + configuration;
		add("learner", "snapshots", "time to receive all state at 23 KB/s",
				all / BYTES_PER_KB / TRAFFIC_BUDGET_KB_PER_SECOND, NO_VALUE, "s", "SnapshotFolder", Source.WORKED_OUT);
		add("control follower", "snapshots", "size of workers and jobs", jobs / BYTES_PER_KB, NO_VALUE, "KB",
				"ControlStateMachine", Source.MEASURED);
		add("control follower", "snapshots", "size of 50,000 claims", claims / BYTES_PER_KB, NO_VALUE, "KB",
				"ClaimState", Source.WORKED_OUT);
	}

	private void addMemory() {
		addMemory("entry and leader in one", "at rest, resident", "instance at rest, without workers: resident");
		addMemory("entry and leader in one", "at rest, private", "instance at rest, without workers: private");
		addMemory("entry and leader in one", "990 workers, 2,100 jobs, resident",
				"instance with workers and 2.12 jobs each: resident");
		addMemory("entry and leader in one", "990 workers, 2,100 jobs, private",
				"instance with workers and 2.12 jobs each: private");
		addCpu("entry and leader in one", "all", "at rest, no workers",
				this.measurements.meanAtLargestSize("idle instance: load"), "Instance", Source.MEASURED);
		add("all", "traces and metrics", "not measured", NO_VALUE, TRAFFIC_BUDGET_KB_PER_SECOND, "KB/s", "Instance",
				Source.MEASURED);
	}

	private void addMemory(String role, String condition, String measurement) {
		add(role, "memory", condition, this.measurements.meanAtLargestSize(measurement), MEMORY_BUDGET_MB, "MB",
				"Instance", Source.MEASURED);
	}

	private void addTraffic(String role, String stream, String condition, double figure, String mechanism,
			Source source) {
		add(role, stream, condition, figure, TRAFFIC_BUDGET_KB_PER_SECOND, "KB/s", mechanism, source);
	}

	private void addCpu(String role, String stream, String condition, double figure, String mechanism, Source source) {
		add(role, stream, condition, figure, CPU_BUDGET_PERCENT, "% of a core", mechanism, source);
	}

	private void add(String role, String stream, String condition, double figure, double budget, String unit,
			String mechanism, Source source) {
		this.lines.add(new BudgetLine(role, stream, condition, figure, budget, unit, mechanism, source));
	}

	/** Looks up measurements by the prefix of their names. */
	private record MeasurementIndex(List<Measurement> measurements) {

		double meanAtLargestSize(String name) {
			return this.measurements.stream()
				.filter((measurement) -> measurement.name().startsWith(name))
				.findFirst()
				.map(Measurement::meanAtLargestSize)
				.orElse(NO_VALUE);
		}

		double meanAt(String name, double size) {
			return this.measurements.stream()
				.filter((measurement) -> measurement.name().startsWith(name))
				.flatMap((measurement) -> measurement.points().stream())
				.filter((meanAt) -> meanAt.size() == size)
				.mapToDouble(Measurement.Point::mean)
				.findFirst()
				.orElse(NO_VALUE);
		}

	}

}
