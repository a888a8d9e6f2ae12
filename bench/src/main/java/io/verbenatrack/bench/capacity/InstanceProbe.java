package io.verbenatrack.bench.capacity;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.verbenatrack.bench.capacity.InstanceLoadGenerator.Call;
import io.verbenatrack.bench.capacity.InstanceLoadGenerator.Load;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.WorkerSpec;
import io.verbenatrack.settings.DeclarationsJson;
import io.verbenatrack.settings.DurationFormat;
import io.verbenatrack.standin.StandinFleet;
import io.verbenatrack.standin.WorkDurations;

/**
 * Measures CPU time, traffic and memory of one instance process under the calls of
 * workers and targets.
 */
final class InstanceProbe {

	private static final Duration WORKER_ANNOUNCEMENT_INTERVAL = Duration.ofSeconds(2);

	private static final Duration TARGET_ANNOUNCEMENT_INTERVAL = Duration.ofMillis(500);

	private static final List<Integer> TARGET_COUNTS = List.of(30, 60, 120);

	private static final int REPORTED_JOBS = 8;

	private static final Duration SETTLING_TIME = Duration.ofSeconds(3);

	private static final Duration LONG_RUN_TIME = Duration.ofHours(1);

	private final MeasurementCollector collector;

	private final CapacityOptions options;

	private String url;

	InstanceProbe(MeasurementCollector collector, CapacityOptions options) {
		this.collector = collector;
		this.options = options;
	}

	void run(InstanceProcess instance) throws Exception {
		try (InstanceLoadGenerator generator = new InstanceLoadGenerator(instance);
				StubWorkerServer workerServer = new StubWorkerServer();
				StandinFleet fleet = new StandinFleet(List.of(instance.http()), new LongRunningWork())) {
			this.url = workerServer.url();
			generator.awaitReady();
			recordMemory("instance at rest, without workers", 0, instance);
			generator.put("/v1/declarations?expectedRevision=0&changeId=capacity&operator=capacity",
					DeclarationsJson.write(SampleFleet.declarations()));
			measureIdle(generator);
			for (int targets : TARGET_COUNTS) {
				measureTargets(generator, targets);
			}
			for (int workers : this.options.workers()) {
				measureAnnouncements(generator, workers);
				measureReports(generator, workers);
			}
			measureMemory(generator, fleet, instance);
		}
	}

	private void measureIdle(InstanceLoadGenerator generator) throws Exception {
		Load load = generator.sendCalls(0, this.options.window().toNanos(), (number) -> null);
		this.collector.add("idle instance: load", "% of a core", "workers", 0, load.corePercent());
	}

	private void measureAnnouncements(InstanceLoadGenerator generator, int workers) throws Exception {
		generator.sendCalls(workers, WORKER_ANNOUNCEMENT_INTERVAL.toNanos(), this::announcement);
		long window = this.options.window().toNanos();
		int calls = (int) (workers * window / WORKER_ANNOUNCEMENT_INTERVAL.toNanos());
		Load load = generator.sendCalls(calls, window, (number) -> announcement(number % workers));
		record("announcements of workers every 2 s to one instance", "workers", workers, load);
	}

	private void measureTargets(InstanceLoadGenerator generator, int targets) throws Exception {
		long window = this.options.window().toNanos();
		int calls = (int) (targets * window / TARGET_ANNOUNCEMENT_INTERVAL.toNanos());
		Load load = generator.sendCalls(calls, window, (number) -> target(number % targets));
		record("announcements of targets every 0.5 s to one instance", "targets", targets, load);
	}

	private void measureReports(InstanceLoadGenerator generator, int reports) throws Exception {
		for (int job = 0; job < REPORTED_JOBS; job++) {
			generator.post("/v1/jobs", body(SampleFleet.job(job)));
		}
		long window = this.options.window().toNanos();
		int calls = (int) (reports * window / WORKER_ANNOUNCEMENT_INTERVAL.toNanos());
		Load load = generator.sendCalls(calls, window, InstanceProbe::report);
		record("usage reports, one call of each worker every 2 s", "workers", reports, load);
	}

	private void record(String name, String sizeUnit, int size, Load load) {
		this.collector.add(name + ": load", "% of a core", sizeUnit, size, load.corePercent());
		this.collector.add(name + ": traffic", "KB/s", sizeUnit, size, load.kilobytesPerSecond());
		this.collector.add(name + ": cost", "µs of processor time for each call", sizeUnit, size,
				load.cpuMicrosPerCall());
		this.collector.add(name + ": size", "bytes for each call, both ways", sizeUnit, size, load.bytesPerCall());
		this.collector.add(name + ": failed", "calls", sizeUnit, size, load.failures());
	}

	private void measureMemory(InstanceLoadGenerator generator, StandinFleet fleet, InstanceProcess instance)
			throws Exception {
		int last = 0;
		for (int workers : this.options.workers()) {
			for (int number = last; number < workers; number++) {
				fleet.addWorker(SampleFleet.worker(number));
			}
			int jobs = SampleFleet.jobs(workers);
			int first = SampleFleet.jobs(last);
			generator.sendCalls(jobs - first, SETTLING_TIME.toNanos(),
					(number) -> new Call("/v1/jobs", body(SampleFleet.job(first + number))));
			TimeUnit.NANOSECONDS.sleep(SETTLING_TIME.toNanos());
			recordMemory("instance with workers and 2.12 jobs each", workers, instance);
			last = workers;
		}
	}

	private void recordMemory(String name, int size, InstanceProcess instance) throws Exception {
		MemoryProbe.record(this.collector, name, "workers", size, instance.pid());
	}

	private Call announcement(int number) {
		WorkerSpec spec = SampleFleet.worker(number);
		return new Call("/v1/workers", """
				{"id":"%s","zone":"%s","rack":"%s","positionInRack":%d,"cores":%d,"memoryGib":%d,"accelerators":%d,\
				"url":"%s/workers/%s","incarnation":"capacity"}""".formatted(spec.id(), spec.zone(), spec.rack(),
				spec.positionInRack(), spec.cores(), spec.memoryGib(), spec.accelerators(), this.url, spec.id()));
	}

	private static Call target(int number) {
		return new Call("/v1/targets",
				"""
						{"id":"jalan-%03d","service":"jalan","zone":"zone-%d","url":"%s","slots":8,"connections":64,"load":%d}"""
					.formatted(number, number % 3, URI.create("http://127.0.0.1:9/targets/" + number), number % 8));
	}

	private static Call report(int number) {
		return new Call("/v1/workers/" + SampleFleet.worker(0).id() + "/reports", """
				{"reports":[{"job":"%s","token":1,"report":"usage","progressMs":%d,"checkpointedMs":0,\
				"memoryGib":1}]}""".formatted(SampleFleet.job(number % REPORTED_JOBS).id(), number));
	}

	private static String body(JobSpec job) {
		return """
				{"id":"%s","account":"%s","class":"%s","accelerators":%d,"coresPerAccelerator":%d,\
				"memoryGibPerAccelerator":%d,"runTime":"%s","urgency":"normal","checkpointable":true}""".formatted(
				job.id(), job.account(), job.jobClass(), job.shape().accelerators(), job.shape().coresPerAccelerator(),
				job.shape().memoryGibPerAccelerator(), DurationFormat.format(job.declaredRunTime()));
	}

	/** Work whose jobs run longer than the bench. */
	private static final class LongRunningWork implements WorkDurations {

		@Override
		public Duration runTime(String job, Duration declared) {
			return LONG_RUN_TIME;
		}

		@Override
		public Duration serviceTime(String request) {
			return Duration.ZERO;
		}

	}

}
