package io.verbenatrack.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.Identifiers;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.Urgency;

/**
 * Reads the jobs of a work file: streams of jobs generated from the seed, and jobs that
 * are listed explicitly.
 */
final class PlannedJobReader {

	private static final int MAXIMUM_JOBS = 100_000;

	private static final int MAXIMUM_RESOURCES_PER_ACCELERATOR = 10_000;

	private static final double MAXIMUM_DECLARED_ERROR = 100;

	private static final Duration MINIMUM_RUN_TIME = Duration.ofMillis(1);

	private static final Duration MAXIMUM_DURATION = Duration.ofDays(7);

	private PlannedJobReader() {
	}

	static List<WorkPlan.PlannedJob> read(MappingReader reader, long seed) {
		reader.requireKnownKeys("streams", "explicit");
		List<WorkPlan.PlannedJob> jobs = new ArrayList<>();
		Set<String> names = new HashSet<>();
		for (MappingReader stream : reader.mappings("streams")) {
			String name = stream.text("name");
			if (!names.add(name)) {
				throw stream.invalidValue("name", name, "Give each stream its own name.");
			}
			addStream(jobs, stream, name, new SplittableRandom(seed ^ name.hashCode()));
		}
		Set<JobId> ids = new HashSet<>();
		jobs.forEach((job) -> ids.add(job.job().id()));
		for (MappingReader explicit : reader.mappings("explicit")) {
			WorkPlan.PlannedJob job = explicit(explicit);
			if (!ids.add(job.job().id())) {
				throw explicit.invalidValue("id", job.job().id().value(), "Give each job its own id.");
			}
			jobs.add(job);
		}
		return jobs;
	}

	private static void addStream(List<WorkPlan.PlannedJob> jobs, MappingReader stream, String name,
			SplittableRandom random) {
		stream.requireKnownKeys("name", "account", "class", "count", "accelerators", "cores-per-accelerator",
				"memory-gib-per-accelerator", "run-time", "declared-error", "urgency", "checkpointable", "arrive");
		CommonFields common = CommonFields.read(stream);
		List<Integer> sizes = sizes(stream);
		MappingReader runTime = stream.mapping("run-time").requireKnownKeys("minimum", "maximum");
		Duration minimum = runTime.duration("minimum", MINIMUM_RUN_TIME, MAXIMUM_DURATION);
		Duration maximum = runTime.duration("maximum", minimum, MAXIMUM_DURATION);
		double error = stream.decimal("declared-error", 1, 1, MAXIMUM_DECLARED_ERROR);
		WorkFile.ArrivalWindow arrivals = WorkFile.ArrivalWindow.read(stream);
		int count = stream.integer("count", 1, MAXIMUM_JOBS);
		for (int number = 1; number <= count; number++) {
			JobId id = stream.identifier("name", new StreamPosition(number)::jobId);
			GangShape shape = common.shape(sizes.get(random.nextInt(sizes.size())));
			Duration actual = interpolate(minimum, maximum, random.nextDouble());
			Duration declared = scale(actual, Math.pow(error, 2 * random.nextDouble() - 1));
			jobs.add(new WorkPlan.PlannedJob(arrivals.draw(random), common.job(id, shape, declared), actual));
		}
	}

	private static List<Integer> sizes(MappingReader stream) {
		List<Integer> sizes = new ArrayList<>();
		for (String text : stream.textList("accelerators")) {
			int size = text.matches("\\d{1,3}") ? Integer.parseInt(text) : 0;
			if (size < 1 || size > GangShape.MAXIMUM_ACCELERATORS) {
				throw stream.invalidValue("accelerators", text,
						"List numbers from 1 to " + GangShape.MAXIMUM_ACCELERATORS + ".");
			}
			sizes.add(size);
		}
		if (sizes.isEmpty()) {
			throw stream.invalid("accelerators", "is missing or empty.", "List at least one size, such as [1, 2].");
		}
		return sizes;
	}

	private static WorkPlan.PlannedJob explicit(MappingReader reader) {
		reader.requireKnownKeys("id", "account", "class", "accelerators", "cores-per-accelerator",
				"memory-gib-per-accelerator", "declared-run-time", "actual-run-time", "urgency", "checkpointable",
				"arrive-after");
		CommonFields common = CommonFields.read(reader);
		Duration declared = reader.duration("declared-run-time", MINIMUM_RUN_TIME, MAXIMUM_DURATION);
		Duration actual = reader.duration("actual-run-time", declared, MINIMUM_RUN_TIME, MAXIMUM_DURATION);
		GangShape shape = common.shape(reader.integer("accelerators", 1, GangShape.MAXIMUM_ACCELERATORS));
		Duration arrival = reader.duration("arrive-after", Duration.ZERO, Duration.ZERO, MAXIMUM_DURATION);
		return new WorkPlan.PlannedJob(arrival, common.job(reader.identifier("id", JobId::new), shape, declared),
				actual);
	}

	private static Duration interpolate(Duration minimum, Duration maximum, double fraction) {
		return minimum.plusMillis(Math.round(maximum.minus(minimum).toMillis() * fraction));
	}

	private static Duration scale(Duration duration, double factor) {
		return Duration.ofMillis(Math.max(1, Math.round(duration.toMillis() * factor)));
	}

	/**
	 * Fields that streams and explicit jobs have in common.
	 *
	 * @param account the client account
	 * @param jobClass the class of jobs with similar run times
	 * @param cores the processor cores for each accelerator
	 * @param memoryGib the memory for each accelerator, in GiB
	 * @param urgency the urgency
	 * @param checkpointable whether the job can save checkpoints
	 */
	private record CommonFields(AccountId account, String jobClass, int cores, int memoryGib, Urgency urgency,
			boolean checkpointable) {

		static CommonFields read(MappingReader reader) {
			String jobClass = reader.identifier("class", (text) -> {
				Identifiers.requireValid("job class", text);
				return text;
			});
			return new CommonFields(reader.identifier("account", AccountId::new), jobClass,
					reader.integer("cores-per-accelerator", 0, 0, MAXIMUM_RESOURCES_PER_ACCELERATOR),
					reader.integer("memory-gib-per-accelerator", 0, 0, MAXIMUM_RESOURCES_PER_ACCELERATOR),
					reader.enumValue("urgency", Urgency.NORMAL), reader.booleanValue("checkpointable", true));
		}

		GangShape shape(int accelerators) {
			return new GangShape(accelerators, this.cores, this.memoryGib);
		}

		JobSpec job(JobId id, GangShape shape, Duration declared) {
			return new JobSpec(id, this.account, this.jobClass, shape, declared, this.urgency, this.checkpointable);
		}

	}

	/**
	 * Derives identifiers from the position of an item in its stream.
	 *
	 * @param number the position in the stream, from 1
	 */
	private record StreamPosition(int number) {

		JobId jobId(String stream) {
			return new JobId(stream + "-" + this.number);
		}

	}

}
