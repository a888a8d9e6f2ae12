package io.verbenatrack.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

import io.verbenatrack.model.RackId;
import io.verbenatrack.model.Result;
import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.TargetId;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.WorkerSpec;
import io.verbenatrack.model.ZoneId;

/**
 * Reads a work file: a fleet of stand-in workers and targets, and the jobs and requests
 * to submit to it.
 */
public final class WorkFile {

	private static final int MAXIMUM_COUNT = 10_000;

	private static final double MAXIMUM_TIME_SCALE = 1_000_000;

	private WorkFile() {
	}

	/**
	 * Reads a work file and generates its streams from its seed.
	 * @param file the file
	 * @return the plan, or the first problem found, with its line and key
	 */
	public static Result<WorkPlan> read(Path file) {
		return ReadResults.capture(() -> plan(DocumentParser.yaml(file)));
	}

	/**
	 * Reads a work file from a YAML document in memory.
	 * @param name the name of the document in messages
	 * @param content the document, encoded in UTF-8
	 * @return the plan, or the first problem found, with its line and key
	 */
	public static Result<WorkPlan> read(String name, byte[] content) {
		return ReadResults.capture(() -> plan(DocumentParser.yaml(name, content)));
	}

	private static WorkPlan plan(MappingReader reader) {
		reader.requireKnownKeys("seed", "start", "time-scale", "workers", "targets", "jobs", "requests");
		long seed = reader.longInteger("seed");
		Instant start = reader.instant("start");
		List<WorkerSpec> workers = new ArrayList<>();
		Set<String> racks = new HashSet<>();
		reader.mappings("workers").forEach((group) -> addWorkers(workers, racks, group));
		List<WorkPlan.PlannedTarget> targets = new ArrayList<>();
		reader.mappings("targets").forEach((group) -> addTargets(targets, group));
		List<WorkPlan.PlannedJob> jobs = new ArrayList<>(PlannedJobReader.read(reader.mapping("jobs"), seed));
		jobs.sort(Comparator.comparing(WorkPlan.PlannedJob::arrival).thenComparing((job) -> job.job().id()));
		List<WorkPlan.PlannedRequest> requests = new ArrayList<>(
				PlannedRequestReader.read(reader.mapping("requests"), seed));
		requests
			.sort(Comparator.comparing(WorkPlan.PlannedRequest::arrival).thenComparing(WorkPlan.PlannedRequest::id));
		double timeScale = reader.decimal("time-scale", 1, 1, MAXIMUM_TIME_SCALE);
		return new WorkPlan(seed, start, timeScale, workers, targets, jobs, requests);
	}

	private static void addWorkers(List<WorkerSpec> workers, Set<String> racks, MappingReader group) {
		group.requireKnownKeys("rack", "zone", "count", "cores", "memory-gib", "accelerators");
		RackId rack = group.identifier("rack", RackId::new);
		ZoneId zone = group.identifier("zone", ZoneId::new);
		if (!racks.add(rack.value())) {
			throw group.invalidValue("rack", rack.value(), "List each rack once.");
		}
		int count = group.integer("count", 1, MAXIMUM_COUNT);
		int cores = group.integer("cores", 1, MAXIMUM_COUNT);
		int memoryGib = group.integer("memory-gib", 1, MAXIMUM_COUNT);
		int accelerators = group.integer("accelerators", 0, MAXIMUM_COUNT);
		for (int position = 0; position < count; position++) {
			WorkerId id = new WorkerId(rack.value() + "-w" + (position + 1));
			workers.add(new WorkerSpec(id, zone, rack, position, cores, memoryGib, accelerators));
		}
	}

	private static void addTargets(List<WorkPlan.PlannedTarget> targets, MappingReader group) {
		group.requireKnownKeys("service", "zone", "count", "slots", "connections");
		ServiceId service = group.identifier("service", ServiceId::new);
		ZoneId zone = group.identifier("zone", ZoneId::new);
		int count = group.integer("count", 1, MAXIMUM_COUNT);
		int slots = group.integer("slots", 1, MAXIMUM_COUNT);
		int connections = group.integer("connections", 1, MAXIMUM_COUNT);
		for (int number = 1; number <= count; number++) {
			TargetId id = new TargetId(service.value() + "-" + zone.value() + "-" + number);
			targets.add(new WorkPlan.PlannedTarget(id, service, zone, slots, connections));
		}
	}

	/**
	 * The time window in which the items of a stream arrive, uniformly distributed.
	 *
	 * @param after the earliest arrival
	 * @param within the length of the window
	 */
	record ArrivalWindow(Duration after, Duration within) {

		private static final Duration MAXIMUM_DURATION = Duration.ofDays(7);

		static ArrivalWindow read(MappingReader stream) {
			MappingReader reader = stream.mapping("arrive").requireKnownKeys("after", "within");
			return new ArrivalWindow(reader.duration("after", Duration.ZERO, Duration.ZERO, MAXIMUM_DURATION),
					reader.duration("within", Duration.ZERO, Duration.ZERO, MAXIMUM_DURATION));
		}

		Duration draw(SplittableRandom random) {
			return this.after.plusMillis(Math.round(this.within.toMillis() * random.nextDouble()));
		}

	}

}
