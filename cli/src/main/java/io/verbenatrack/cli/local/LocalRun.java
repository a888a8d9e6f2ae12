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
 * Runs a plan of work on one instance and gathers its figures.
 */
final class LocalRun implements AutoCloseable {

	private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(250);

	private static final Duration STARTUP_LIMIT = Duration.ofSeconds(30);

	private static final Duration SETTLE_LIMIT = Duration.ofSeconds(90);

	private static final double MILLIS_PER_MINUTE = 60_000;

	private static final int HUNDREDTHS = 100;

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

	private int reclaimed;

	private long readyNanos;

	private long workStartedNanos;

	LocalRun(InstanceSettings settings, WorkPlan plan, PrintStream progress) throws Exception {
		this.plan = plan;
		this.progress = progress;
		this.instance = this.closer.register(Instance.start(settings));
		this.client = this.closer.register(new LocalClient(this.instance.http()));
		this.fleet = this.closer.register(new StandinFleet(List.of(this.instance.http()), new PlannedWork(plan)));
		this.timer = Executors.newSingleThreadScheduledExecutor();
		this.closer.register(this.timer::shutdownNow);
	}

	LocalSummary run(Declarations declarations) throws Exception {
		await("the instance", () -> this.client.isReady());
		await("the declarations", () -> this.client.declare(declarations) == 200);
		this.readyNanos = System.nanoTime();
		this.progress.println("instance ready at " + this.instance.http());
		this.plan.workers().forEach(this.fleet::addWorker);
		this.plan.targets()
			.forEach((target) -> this.fleet.addTarget(new StandinTarget(target.id().value(), target.service().value(),
					target.zone().value(), target.slots(), target.connections())));
		await("the workers", () -> this.client.view("fleet").path("workers").size() == this.plan.workers().size());
		this.progress.println(this.plan.workers().size() + " workers and " + this.plan.targets().size() + " targets");
		this.workStartedNanos = System.nanoTime();
		this.plan.jobs().forEach(this::submitLater);
		this.plan.requests().forEach(this::askLater);
		observeUntilDone();
		return summary();
	}

	private void await(String what, Check check) throws Exception {
		long limit = System.nanoTime() + STARTUP_LIMIT.toNanos();
		while (!check.holds()) {
			if (System.nanoTime() > limit) {
				throw new IllegalStateException("Waited " + STARTUP_LIMIT.toSeconds() + " s for " + what
						+ ". Look into the log of the instance above.");
			}
			TimeUnit.MILLISECONDS.sleep(10);
		}
	}

	private void submitLater(WorkPlan.PlannedJob planned) {
		this.timer.schedule(() -> submit(planned), this.plan.real(planned.arrival()).toNanos(), TimeUnit.NANOSECONDS);
	}

	private void submit(WorkPlan.PlannedJob planned) {
		synchronized (this.submittedNanos) {
			this.submittedNanos.putIfAbsent(planned.job().id().value(), System.nanoTime());
		}
		Duration real = this.plan.real(planned.job().declaredRunTime());
		Duration declared = (real.toMillis() > 0) ? Duration.ofMillis(real.toMillis()) : Duration.ofMillis(1);
		this.client.submit(planned.job(), declared).thenAccept((taken) -> {
			if (!taken) {
				this.timer.schedule(() -> submit(planned), SAMPLE_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
			}
		});
	}

	private void askLater(WorkPlan.PlannedRequest planned) {
		CompletableFuture<String> outcome = new CompletableFuture<>();
		this.requestOutcomes.put(planned.id().value(), outcome);
		this.timer.schedule(() -> this.client.ask(planned).thenAccept(outcome::complete),
				this.plan.real(planned.arrival()).toNanos(), TimeUnit.NANOSECONDS);
	}

	private void observeUntilDone() throws Exception {
		Duration last = this.plan.jobs()
			.stream()
			.map(WorkPlan.PlannedJob::arrival)
			.max(Duration::compareTo)
			.orElse(Duration.ZERO);
		long limit = System.nanoTime() + this.plan.real(last).plus(SETTLE_LIMIT).toNanos();
		while (System.nanoTime() < limit && !isDone()) {
			TimeUnit.MILLISECONDS.sleep(SAMPLE_INTERVAL.toMillis());
			observe();
		}
		explainWhatIsOpen();
	}

	private void explainWhatIsOpen() throws Exception {
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
		this.reclaimed = reclaims;
		double share = this.client.view("fleet").path("fragmentation").asDouble();
		this.fragmentation
			.add(new LocalSummary.FragmentationSample(virtualMinutes(now - this.workStartedNanos), share));
		long requests = this.requestOutcomes.values().stream().filter(CompletableFuture::isDone).count();
		this.progress.printf("\r%d of %d jobs, %d of %d requests have their outcome", this.jobOutcomes.size(),
				this.plan.jobs().size(), requests, this.requestOutcomes.size());
	}

	private long virtualMinutes(long nanos) {
		return Math.round(nanos * this.plan.timeScale() / TimeUnit.MILLISECONDS.toNanos(1) / MILLIS_PER_MINUTE);
	}

	private LocalSummary summary() {
		this.progress.println();
		int finished = count("Finished");
		int notRun = requests("not-run");
		int answered = requests("answered");
		return new LocalSummary(this.plan.jobs().size(), finished, count("Refused"),
				this.plan.jobs().size() - this.jobOutcomes.size(), this.requestOutcomes.size(), answered, notRun,
				this.requestOutcomes.size() - answered - notRun, runTwice(),
				this.fleet.workers().stream().mapToInt((worker) -> worker.starts()).sum(), this.reclaimed, completion(),
				List.copyOf(this.fragmentation), millis(this.readyNanos - this.startedNanos),
				millis(System.nanoTime() - this.startedNanos));
	}

	private int count(String outcome) {
		return (int) this.jobOutcomes.values().stream().filter(outcome::equals).count();
	}

	private int requests(String outcome) {
		return (int) this.requestOutcomes.values()
			.stream()
			.filter((told) -> outcome.equals(told.getNow("unknown")))
			.count();
	}

	private int runTwice() {
		int twice = 0;
		for (WorkPlan.PlannedRequest request : this.plan.requests()) {
			int runs = this.fleet.targets().stream().mapToInt((target) -> target.runs(request.id().value())).sum();
			if (!request.idempotent() && runs > 1) {
				twice++;
			}
		}
		return twice;
	}

	private LocalSummary.CompletionTime completion() {
		Histogram histogram = new Histogram(3);
		this.jobOutcomes.forEach((job, outcome) -> {
			if (outcome.equals("Finished")) {
				long nanos = this.endedNanos.get(job) - this.submittedNanos.get(job);
				histogram.recordValue(Math.round(nanos * this.plan.timeScale() / TimeUnit.MILLISECONDS.toNanos(1)
						/ MILLIS_PER_MINUTE * HUNDREDTHS));
			}
		});
		return new LocalSummary.CompletionTime(minutes(histogram.getValueAtPercentile(50)),
				minutes(histogram.getValueAtPercentile(95)), minutes(histogram.getMaxValue()));
	}

	private static double minutes(long hundredths) {
		return (double) hundredths / HUNDREDTHS;
	}

	private static long millis(long nanos) {
		return TimeUnit.NANOSECONDS.toMillis(nanos);
	}

	@Override
	public void close() {
		this.closer.close();
	}

	/** Something to wait for. */
	private interface Check {

		boolean holds() throws Exception;

	}

}
