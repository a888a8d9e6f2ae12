package io.verbenatrack.cli.local;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.HdrHistogram.Histogram;

import io.verbenatrack.model.Closer;
import io.verbenatrack.model.Declarations;
import io.verbenatrack.server.Instance;
import io.verbenatrack.settings.InstanceSettings;
import io.verbenatrack.settings.WorkPlan;
import io.verbenatrack.standin.StandinFleet;
import io.verbenatrack.standin.StandinTarget;

/**
 * Runs a work plan on one instance and collects the figures of the run.
 */
final class LocalRun implements AutoCloseable {

	private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(250);

	private static final Duration STARTUP_TIMEOUT = Duration.ofSeconds(30);

	private static final Duration COMPLETION_TIMEOUT = Duration.ofSeconds(90);

	private static final double MILLIS_PER_MINUTE = 60_000;

	private static final int HUNDREDTHS_PER_MINUTE = 100;

	private final Closer closer = new Closer();

	private final WorkPlan plan;

	private final PrintStream progress;

	private final Instance instance;

	private final LocalClient client;

	private final StandinFleet fleet;

	private final ScheduledExecutorService timer;

	private final long startedNanos = System.nanoTime();

	private final Map<String, Long> submittedNanos = new HashMap<>();

	private final Map<String, Long> endedNanos = new HashMap<>();

	private final Map<String, String> jobOutcomes = new HashMap<>();

	private final Map<String, CompletableFuture<String>> requestOutcomes = new HashMap<>();

	private final List<LocalSummary.FragmentationSample> fragmentation = new ArrayList<>();

	private int gangsReclaimed;

	private long readyNanos;

	private long workStartedNanos;

	LocalRun(InstanceSettings settings, WorkPlan plan, PrintStream progress) throws Exception {
		this.plan = plan;
		this.progress = progress;
		this.instance = this.closer.register(Instance.start(settings));
		this.client = this.closer.register(new LocalClient(this.instance.http()));
		this.fleet = this.closer
			.register(new StandinFleet(List.of(this.instance.http()), new PlannedWorkDurations(plan)));
		this.timer = Executors.newSingleThreadScheduledExecutor();
		this.closer.register(this.timer::shutdownNow);
	}

	LocalSummary run(Declarations declarations) throws Exception {
		await("the instance", () -> this.client.isReady());
		await("the declarations", () -> this.client.applyDeclarations(declarations) == 200);
		this.readyNanos = System.nanoTime();
		this.progress.println("instance ready at " + this.instance.http());
		this.plan.workers().forEach(this.fleet::addWorker);
		this.plan.targets()
			.forEach((target) -> this.fleet.addTarget(new StandinTarget(target.id().value(), target.service().value(),
					target.zone().value(), target.slots(), target.connections())));
		await("the workers", () -> this.client.view("fleet").path("workers").size() == this.plan.workers().size());
		this.progress.println(this.plan.workers().size() + " workers and " + this.plan.targets().size() + " targets");
		this.workStartedNanos = System.nanoTime();
		this.plan.jobs().forEach(this::scheduleJob);
		this.plan.requests().forEach(this::scheduleRequest);
		observeUntilDone();
		return summary();
	}

	private void await(String awaited, Condition condition) throws Exception {
		long deadline = System.nanoTime() + STARTUP_TIMEOUT.toNanos();
		while (!condition.isMet()) {
			if (System.nanoTime() > deadline) {
				throw new IllegalStateException("Timed out after " + STARTUP_TIMEOUT.toSeconds() + " s waiting for "
						+ awaited + "; see the instance log above.");
			}
			TimeUnit.MILLISECONDS.sleep(10);
		}
	}

	private void scheduleJob(WorkPlan.PlannedJob planned) {
		this.timer.schedule(() -> submit(planned), this.plan.toRealTime(planned.arrival()).toNanos(),
				TimeUnit.NANOSECONDS);
	}

	private void submit(WorkPlan.PlannedJob planned) {
		synchronized (this.submittedNanos) {
			this.submittedNanos.putIfAbsent(planned.job().id().value(), System.nanoTime());
		}
		Duration real = this.plan.toRealTime(planned.job().declaredRunTime());
		Duration declared = (real.toMillis() > 0) ? Duration.ofMillis(real.toMillis()) : Duration.ofMillis(1);
		this.client.submit(planned.job(), declared).thenAccept((accepted) -> {
			if (!accepted) {
				this.timer.schedule(() -> submit(planned), SAMPLE_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
			}
		});
	}

	private void scheduleRequest(WorkPlan.PlannedRequest planned) {
		CompletableFuture<String> outcome = new CompletableFuture<>();
		this.requestOutcomes.put(planned.id().value(), outcome);
		this.timer.schedule(() -> this.client.send(planned).thenAccept(outcome::complete),
				this.plan.toRealTime(planned.arrival()).toNanos(), TimeUnit.NANOSECONDS);
	}

	private void observeUntilDone() throws Exception {
		Duration lastArrival = this.plan.jobs()
			.stream()
			.map(WorkPlan.PlannedJob::arrival)
			.max(Duration::compareTo)
			.orElse(Duration.ZERO);
		long deadline = System.nanoTime() + this.plan.toRealTime(lastArrival).plus(COMPLETION_TIMEOUT).toNanos();
		while (System.nanoTime() < deadline && !isDone()) {
			TimeUnit.MILLISECONDS.sleep(SAMPLE_INTERVAL.toMillis());
			observe();
		}
		printUnfinishedWork();
	}

	private void printUnfinishedWork() throws Exception {
		if (this.jobOutcomes.size() == this.plan.jobs().size()) {
			return;
		}
		this.progress.println();
		for (JsonNode job : this.client.view("jobs").path("jobs")) {
			if (!job.path("outcome").isObject()) {
				this.progress.println("without outcome: " + job);
			}
		}
		this.progress.println("fleet: " + this.client.view("fleet"));
	}

	private boolean isDone() {
		return this.jobOutcomes.size() == this.plan.jobs().size()
				&& this.requestOutcomes.values().stream().allMatch(CompletableFuture::isDone);
	}

	private void observe() throws Exception {
		long now = System.nanoTime();
		JsonNode jobs = this.client.view("jobs").path("jobs");
		int reclaims = 0;
		for (JsonNode job : jobs) {
			reclaims += job.path("reclaims").asInt();
			JsonNode outcome = job.path("outcome");
			if (outcome.isObject()) {
				String id = job.path("job").path("id").asText();
				this.jobOutcomes.put(id, outcome.path("type").asText());
				this.endedNanos.putIfAbsent(id, now);
			}
		}
		this.gangsReclaimed = reclaims;
		double fragmentationRatio = this.client.view("fleet").path("fragmentation").asDouble();
		this.fragmentation
			.add(new LocalSummary.FragmentationSample(virtualMinutes(now - this.workStartedNanos), fragmentationRatio));
		long requests = this.requestOutcomes.values().stream().filter(CompletableFuture::isDone).count();
		this.progress.printf("\r%d of %d jobs, %d of %d requests have their outcome", this.jobOutcomes.size(),
				this.plan.jobs().size(), requests, this.requestOutcomes.size());
	}

	private long virtualMinutes(long nanos) {
		return Math.round(nanos * this.plan.timeScale() / TimeUnit.MILLISECONDS.toNanos(1) / MILLIS_PER_MINUTE);
	}

	private LocalSummary summary() {
		this.progress.println();
		int finished = countJobs("Finished");
		int notRun = countRequests("not-run");
		int answered = countRequests("answered");
		return new LocalSummary(this.plan.jobs().size(), finished, countJobs("Refused"),
				this.plan.jobs().size() - this.jobOutcomes.size(), this.requestOutcomes.size(), answered, notRun,
				this.requestOutcomes.size() - answered - notRun, countRunTwice(),
				this.fleet.workers().stream().mapToInt((worker) -> worker.starts()).sum(), this.gangsReclaimed,
				completionTime(), List.copyOf(this.fragmentation), millis(this.readyNanos - this.startedNanos),
				millis(System.nanoTime() - this.startedNanos));
	}

	private int countJobs(String outcome) {
		return (int) this.jobOutcomes.values().stream().filter(outcome::equals).count();
	}

	private int countRequests(String outcome) {
		return (int) this.requestOutcomes.values()
			.stream()
			.filter((reported) -> outcome.equals(reported.getNow("unknown")))
			.count();
	}

	private int countRunTwice() {
		int twice = 0;
		for (WorkPlan.PlannedRequest request : this.plan.requests()) {
			int runs = this.fleet.targets().stream().mapToInt((target) -> target.runs(request.id().value())).sum();
			if (!request.idempotent() && runs > 1) {
				twice++;
			}
		}
		return twice;
	}

	private LocalSummary.CompletionTime completionTime() {
		Histogram histogram = new Histogram(3);
		this.jobOutcomes.forEach((job, outcome) -> {
			if (outcome.equals("Finished")) {
				long nanos = this.endedNanos.get(job) - this.submittedNanos.get(job);
				histogram.recordValue(Math.round(nanos * this.plan.timeScale() / TimeUnit.MILLISECONDS.toNanos(1)
						/ MILLIS_PER_MINUTE * HUNDREDTHS_PER_MINUTE));
			}
		});
		return new LocalSummary.CompletionTime(minutes(histogram.getValueAtPercentile(50)),
				minutes(histogram.getValueAtPercentile(95)), minutes(histogram.getMaxValue()));
	}

	private static double minutes(long hundredths) {
		return (double) hundredths / HUNDREDTHS_PER_MINUTE;
	}

	private static long millis(long nanos) {
		return TimeUnit.NANOSECONDS.toMillis(nanos);
	}

	@Override
	public void close() {
		this.closer.close();
	}

	/** A condition to wait for. */
	private interface Condition {

		boolean isMet() throws Exception;

	}

}
