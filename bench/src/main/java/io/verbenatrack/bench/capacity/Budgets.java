package io.verbenatrack.bench.capacity;

import java.util.ArrayList;
import java.util.List;

import io.verbenatrack.bench.capacity.BudgetLine.Source;

/**
 * Computes the load of each traffic stream at the target fleet size from the
 * measurements.
 */
final class Budgets {

	static final double KB_PER_SECOND = 23;

	static final double CORE_PERCENT = 2.2;

	static final double MEMORY_MB = 64;

	private static final double NONE = Double.NaN;

	private static final int ENTRIES = 6;

	private static final int REPLICAS = 7;

	private static final int TASKS = 9_500;

	private static final double ANNOUNCEMENTS_PER_SECOND = SampleFleet.TARGET_WORKERS / 2.0;

	private static final double USAGE_INTERVAL_SECONDS = 30;

	private static final double SECONDS_PER_DAY = 86_400;

	private static final int CHANGES_PER_DAY = 320;

	private static final int BURST_JOBS = 2_000;

	private static final double BURST_SECONDS = 60;

	private static final int CLAIMS_KEPT = 50_000;

	private static final double BYTES_PER_KB = 1_000;

	/**
	 * Framing bytes of a call and its reply: gRPC and HTTP/2 prefixes, TCP and IP
	 * headers, and one TCP acknowledgement.
	 */
	private static final int CALL_FRAMING = 2 * (5 + 9 + 52) + 52;

	private static final int DIGEST_BYTES = 32 + CALL_FRAMING;

	private static final double CHANGED_WORKERS_PER_SECOND = 1;

	private static final double MICROS_PER_PERCENT = 10_000;

	private final Figuring figuring;

	private final List<BudgetLine> lines = new ArrayList<>();

	private Budgets(List<Measurement> measurements) {
		this.figuring = new Figuring(measurements);
	}

	static List<BudgetLine> of(List<Measurement> measurements) {
		Budgets budgets = new Budgets(measurements);
		budgets.announcements();
		budgets.reports();
		budgets.placements();
		budgets.configuration();
		budgets.log();
		budgets.snapshots();
		budgets.memory();
		return List.copyOf(budgets.lines);
	}

	private void announcements() {
		String load = "announcements of workers every 2 s to one instance: ";
		double bytes = this.figuring.last(load + "size");
		double traffic = ANNOUNCEMENTS_PER_SECOND * bytes / BYTES_PER_KB;
		double processor = this.figuring.last(load + "load");
		traffic("entry", "announcements", "at rest, " + ENTRIES + " entries", traffic / ENTRIES, "WorkerRoutes",
				Source.WORKED_OUT);
		traffic("entry", "announcements", "3 entries lost", traffic / (ENTRIES - 3), "WorkerRoutes", Source.WORKED_OUT);
		processor("entry and leader in one", "announcements", "all of the fleet at one instance", processor,
				"WorkerRoutes", Source.MEASURED);
		double relayed = this.figuring.last("relay of an announcement") + CALL_FRAMING;
		traffic("control leader", "leases", "each announcement relayed",
				ANNOUNCEMENTS_PER_SECOND * relayed / BYTES_PER_KB, "LeaderGateway", Source.WORKED_OUT);
		double decided = this.figuring.last("decision on a renewed announcement");
		processor("control leader", "leases", "decisions only", ANNOUNCEMENTS_PER_SECOND * decided / MICROS_PER_PERCENT,
				"LeaderDuty", Source.WORKED_OUT);
		traffic("control leader", "leases", "design change: entries keep leases, send changes and a digest a second",
				(ENTRIES * DIGEST_BYTES + CHANGED_WORKERS_PER_SECOND * relayed) / BYTES_PER_KB, "WorkerLeases",
				Source.ASSUMED_RATE);
		traffic("control leader", "leases", "design change, a region's link lost: half of the fleet over 10 s",
				SampleFleet.TARGET_WORKERS / 2.0 * relayed / 10 / BYTES_PER_KB, "WorkerLeases", Source.ASSUMED_RATE);
		traffic("entry", "announcements", "design change: one every 10 s under a lease of 30 s",
				SampleFleet.TARGET_WORKERS / 10.0 * bytes / ENTRIES / BYTES_PER_KB, "WorkerRoutes", Source.WORKED_OUT);
	}

	private void reports() {
		double rate = TASKS / USAGE_INTERVAL_SECONDS;
		double logged = this.figuring.last("log of a usage report");
		String each = "each task every 30 s, each logged";
		traffic("control leader", "reports", each, rate * logged * (REPLICAS - 1) / BYTES_PER_KB, "SchedulingDecision",
				Source.ASSUMED_RATE);
		traffic("control follower", "reports", each, rate * logged / BYTES_PER_KB, "SchedulingDecision",
				Source.ASSUMED_RATE);
		processor("control leader", "reports", each,
				rate * this.figuring.last("decision on a usage report") / MICROS_PER_PERCENT, "LeaderDuty",
				Source.ASSUMED_RATE);
		traffic("control leader", "reports", "design change: progress logged on a checkpoint only, once an hour a job",
				SampleFleet.TARGET_JOBS / 3_600.0 * logged * (REPLICAS - 1) / BYTES_PER_KB, "SchedulingDecision",
				Source.ASSUMED_RATE);
	}

	private void placements() {
		double job = this.figuring.last("log of a submitted and placed job");
		traffic("control leader", "placements", "at rest, 2,100 jobs a day",
				SampleFleet.TARGET_JOBS * job * (REPLICAS - 1) / SECONDS_PER_DAY / BYTES_PER_KB, "DecisionBatch",
				Source.WORKED_OUT);
		traffic("control leader", "placements", "burst of 2,000 jobs, sent within 60 s",
				BURST_JOBS * job * (REPLICAS - 1) / BURST_SECONDS / BYTES_PER_KB, "DecisionBatch", Source.ASSUMED_RATE);
		traffic("control follower", "placements", "burst of 2,000 jobs, sent within 60 s",
				BURST_JOBS * job / BURST_SECONDS / BYTES_PER_KB, "DecisionBatch", Source.ASSUMED_RATE);
		processor("control leader", "placements", "burst of 2,000 jobs over 60 s",
				BURST_JOBS * this.figuring.last("decision on a job") / BURST_SECONDS / MICROS_PER_PERCENT,
				"GuaranteeScheduler", Source.ASSUMED_RATE);
		double member = this.figuring.last("log of a member's report");
		traffic("control leader", "placements",
				"an availability zone lost: a seventh of 9,500 tasks placed within 60 s",
				TASKS / 7.0 * (member * 3) * (REPLICAS - 1) / BURST_SECONDS / BYTES_PER_KB, "DecisionBatch",
				Source.ASSUMED_RATE);
		traffic("control leader", "placements", "a rack lost: 8 workers of 10 tasks each placed within 10 s",
				8 * 10 * (member * 3) * (REPLICAS - 1) / 10 / BYTES_PER_KB, "DecisionBatch", Source.ASSUMED_RATE);
		processor("control leader", "placements", "the passing of time, every 50 ms",
				20 * this.figuring.last("decision on the passing of time") / MICROS_PER_PERCENT, "LeaderDuty",
				Source.WORKED_OUT);
	}

	private void configuration() {
		double change = this.figuring.last("log of a configuration change");
		traffic("control leader", "configuration", "at rest, 320 changes a day",
				CHANGES_PER_DAY * change * (REPLICAS - 1) / SECONDS_PER_DAY / BYTES_PER_KB, "ConfigurationState",
				Source.WORKED_OUT);
		traffic("control leader", "configuration", "one change to 6 replicas within 14 s",
				change * (REPLICAS - 1) / 14 / BYTES_PER_KB, "ConfigurationState", Source.WORKED_OUT);
	}

	private void log() {
		Source source = Source.MEASURED;
		double leader = this.figuring.last("idle log: sent and received by the leader");
		traffic("control leader", "log", "at rest, 7 replicas", leader, "LeaderReplication", source);
		traffic("control follower", "log", "at rest, 7 replicas", leader / (REPLICAS - 1), "FollowerReplication",
				Source.WORKED_OUT);
		traffic("control leader", "log", "at rest, 3 replicas",
				this.figuring.point("idle log: sent and received by the leader", 3), "LeaderReplication", source);
		processor("control follower", "log", "at rest, mean of 7 replicas in one process",
				this.figuring.last("idle log: processor time"), "ProtocolDuty", source);
		traffic("control leader", "log", "design change: heartbeats every 500 ms, 7 replicas", leader / 5,
				"ReplicaTimings", Source.WORKED_OUT);
	}

	private void snapshots() {
		double jobs = this.figuring.last("whole snapshot of workers and jobs");
		double claims = CLAIMS_KEPT * this.figuring.last("snapshot of claims");
		double configuration = this.figuring.last("snapshot of the configuration");
		double all = jobs + claims + configuration;
		add("learner", "snapshots", "time to receive all state at 23 KB/s", all / BYTES_PER_KB / KB_PER_SECOND, NONE,
				"s", "SnapshotFolder", Source.WORKED_OUT);
		add("control follower", "snapshots", "size of workers and jobs", jobs / BYTES_PER_KB, NONE, "KB",
				"ControlStateMachine", Source.MEASURED);
		add("control follower", "snapshots", "size of 50,000 claims", claims / BYTES_PER_KB, NONE, "KB", "ClaimState",
				Source.WORKED_OUT);
	}

	private void memory() {
		memory("entry and leader in one", "at rest, resident", "instance at rest, without workers: resident");
		memory("entry and leader in one", "at rest, private", "instance at rest, without workers: private");
		memory("entry and leader in one", "990 workers, 2,100 jobs, resident",
				"instance with workers and 2.12 jobs each: resident");
		memory("entry and leader in one", "990 workers, 2,100 jobs, private",
				"instance with workers and 2.12 jobs each: private");
		processor("entry and leader in one", "all", "at rest, no workers", this.figuring.last("idle instance: load"),
				"Instance", Source.MEASURED);
		add("all", "traces and metrics", "not measured", NONE, KB_PER_SECOND, "KB/s", "Instance", Source.MEASURED);
	}

	private void memory(String role, String condition, String measurement) {
		add(role, "memory", condition, this.figuring.last(measurement), MEMORY_MB, "MB", "Instance", Source.MEASURED);
	}

	private void traffic(String role, String stream, String condition, double figure, String mechanism, Source source) {
		add(role, stream, condition, figure, KB_PER_SECOND, "KB/s", mechanism, source);
	}

	private void processor(String role, String stream, String condition, double figure, String mechanism,
			Source source) {
		add(role, stream, condition, figure, CORE_PERCENT, "% of a core", mechanism, source);
	}

	private void add(String role, String stream, String condition, double figure, double budget, String unit,
			String mechanism, Source source) {
		this.lines.add(new BudgetLine(role, stream, condition, figure, budget, unit, mechanism, source));
	}

	/** Looks up measurements by the prefix of their names. */
	private record Figuring(List<Measurement> measurements) {

		double last(String name) {
			return this.measurements.stream()
				.filter((measurement) -> measurement.name().startsWith(name))
				.findFirst()
				.map(Measurement::last)
				.orElse(NONE);
		}

		double point(String name, double size) {
			return this.measurements.stream()
				.filter((measurement) -> measurement.name().startsWith(name))
				.flatMap((measurement) -> measurement.points().stream())
				.filter((point) -> point.size() == size)
				.mapToDouble(Measurement.Point::mean)
				.findFirst()
				.orElse(NONE);
		}

	}

}
