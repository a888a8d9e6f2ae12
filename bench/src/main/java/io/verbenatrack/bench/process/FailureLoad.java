package io.verbenatrack.bench.process;

import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import org.eclipse.jetty.client.HttpClient;

import io.verbenatrack.model.Closer;
import io.verbenatrack.model.RackId;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.WorkerSpec;
import io.verbenatrack.model.ZoneId;
import io.verbenatrack.standin.StandinFleet;
import io.verbenatrack.standin.StandinTarget;
import io.verbenatrack.standin.WorkDurations;

/**
 * Sends load to running instances until a stop file appears, then checks every outcome.
 *
 * <p>
 * A script starts, kills and restarts the instances during the run, because the processes
 * of this project do not start processes.
 */
public final class FailureLoad {

	private static final int CALLERS = 6;

	private static final int JOB_CALLERS = 2;

	private static final int TARGETS = 6;

	private static final int WORKERS = 4;

	private static final int MAXIMUM_GANG = 16;

	private static final int IDEMPOTENT_INTERVAL = 3;

	private static final Duration SETTLE_LIMIT = Duration.ofSeconds(60);

	private final List<URI> entries;

	private final Path stopFile;

	private final long seed;

	private final List<ReportedOutcome> outcomes = Collections.synchronizedList(new ArrayList<>());

	private final List<String> jobs = Collections.synchronizedList(new ArrayList<>());

	private final AtomicInteger notAccepted = new AtomicInteger();

	private FailureLoad(List<URI> entries, Path stopFile, long seed) {
		this.entries = entries;
		this.stopFile = stopFile;
		this.seed = seed;
	}

	/**
	 * Runs the load.
	 * @param arguments the URLs of the instances separated by commas, the stop file, and
	 * the seed
	 * @throws Exception if a client or server cannot start
	 */
	public static void main(String[] arguments) throws Exception {
		List<URI> entries = Stream.of(arguments[0].split(",")).map(URI::create).toList();
		long seed = Long.parseLong(arguments[2]);
		System.out.println("seed " + seed);
		int violations = new FailureLoad(entries, Path.of(arguments[1]), seed).run();
		System.exit((violations != 0) ? 1 : 0);
	}

	private int run() throws Exception {
		try (Closer closer = new Closer()) {
			HttpClient client = new HttpClient();
			client.start();
			closer.register(client::stop);
			StandinFleet fleet = closer.register(new StandinFleet(this.entries, new ShortWork()));
			addStandins(fleet);
			RetryingCaller caller = new RetryingCaller(client, this.entries, this.seed);
			while (caller.declare() != 200) {
				TimeUnit.MILLISECONDS.sleep(100);
			}
			System.out.println("load runs");
			load(caller);
			System.out.println("load ended");
			return report(fleet, jobsWithoutOutcome(caller));
		}
	}

	private static void addStandins(StandinFleet fleet) {
		for (int i = 0; i < WORKERS; i++) {
			fleet.addWorker(
					new WorkerSpec(new WorkerId("w-" + i), new ZoneId("z-0"), new RackId("rack"), i, 64, 256, 8));
		}
		for (int i = 0; i < TARGETS; i++) {
			fleet.addTarget(new StandinTarget("t-" + i, "jalan", "z-" + i % 3, 8, 64));
		}
	}

	private void load(RetryingCaller caller) throws Exception {
		List<Future<?>> callers = new ArrayList<>();
		try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
			for (int i = 0; i < CALLERS; i++) {
				String name = "request-" + i + "-";
				callers.add(threads.submit(() -> requestUntilStopped(caller, name)));
			}
			for (int i = 0; i < JOB_CALLERS; i++) {
				String name = "job-" + i + "-";
				callers.add(threads.submit(() -> submitUntilStopped(caller, name)));
			}
			for (Future<?> done : callers) {
				done.get();
			}
		}
	}

	private Void requestUntilStopped(RetryingCaller caller, String name) throws InterruptedException {
		for (int i = 0; !Files.exists(this.stopFile); i++) {
			this.outcomes.add(caller.sendUntilAnswered(name + i, i % IDEMPOTENT_INTERVAL == 0));
		}
		return null;
	}

	private Void submitUntilStopped(RetryingCaller caller, String name) throws InterruptedException {
		for (int i = 0; !Files.exists(this.stopFile); i++) {
			if (caller.submit(name + i, 1 + i * 5 % MAXIMUM_GANG)) {
				this.jobs.add(name + i);
			}
			else {
				this.notAccepted.incrementAndGet();
			}
			TimeUnit.MILLISECONDS.sleep(100);
		}
		return null;
	}

	private int jobsWithoutOutcome(RetryingCaller caller) throws InterruptedException {
		List<String> unfinished = new ArrayList<>(this.jobs);
		long deadlineNanos = System.nanoTime() + SETTLE_LIMIT.toNanos();
		while (!unfinished.isEmpty() && System.nanoTime() < deadlineNanos) {
			List<String> remaining = new ArrayList<>();
			for (String job : unfinished) {
				if (!caller.hasOutcome(job)) {
					remaining.add(job);
				}
			}
			unfinished = remaining;
		}
		for (String job : unfinished) {
			System.out
				.println("VIOLATION " + job + " was accepted and has no outcome: " + caller.fetch("/v1/jobs/" + job));
		}
		if (!unfinished.isEmpty()) {
			System.out.println(caller.fetch("/v1/views/fleet"));
		}
		return unfinished.size();
	}

	private int report(StandinFleet fleet, int jobsWithoutOutcome) {
		List<String> violations = OutcomeChecker.violations(this.outcomes,
				(id) -> fleet.targets().stream().mapToInt((target) -> target.runs(id)).sum());
		violations.forEach((violation) -> System.out.println("VIOLATION " + violation));
		System.out.printf("requests %d: answered %d, not run %d, unknown %d%n", this.outcomes.size(),
				count(ReportedOutcome.ANSWERED), count(ReportedOutcome.NOT_RUN), count(ReportedOutcome.UNKNOWN));
		System.out.printf("jobs %d accepted, %d not accepted, %d without outcome%n", this.jobs.size(),
				this.notAccepted.get(), jobsWithoutOutcome);
		return violations.size() + jobsWithoutOutcome;
	}

	private long count(String outcome) {
		return this.outcomes.stream().filter((each) -> each.outcome().equals(outcome)).count();
	}

	private static final class ShortWork implements WorkDurations {

		@Override
		public Duration runTime(String job, Duration declared) {
			return Duration.ofMillis(200);
		}

		@Override
		public Duration serviceTime(String request) {
			return Duration.ofMillis(5);
		}

	}

}
