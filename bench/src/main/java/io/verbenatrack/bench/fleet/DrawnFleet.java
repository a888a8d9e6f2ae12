package io.verbenatrack.bench.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import io.verbenatrack.fleet.forecast.Quantile;
import io.verbenatrack.fleet.forecast.RunClass;
import io.verbenatrack.fleet.forecast.RunObserver;
import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.fleet.state.FleetBatch;
import io.verbenatrack.fleet.state.FleetCodec;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.ZoneId;

/**
 * Workers that run drawn tasks at random places and report their progress to an observer,
 * so that its forecasts can be compared with what happens.
 */
final class DrawnFleet {

	private static final long TICK_MILLIS = 25;

	/** Longer than an ordinary report takes. */
	private static final long MIN_SWEEP_NANOS = 200_000;

	private static final double STRAGGLER_FACTOR = 7;

	private static final Resources ROOM = new Resources(1000, 1000, 1);

	private final List<DrawnClass> classes;

	private final Random random;

	private final List<Worker> workers = new ArrayList<>();

	private final double stragglerShare;

	private final FleetState state = new FleetState();

	private final FleetCodec codec = new FleetCodec();

	private final Map<JobId, List<Run>> open = new HashMap<>();

	private final List<Sample> samples = new ArrayList<>();

	private RunObserver observer;

	private long nowMillis = 1000;

	private long term = 1;

	private long sequence;

	private long jobs;

	private int ended;

	private final Map<String, Integer> endedByQueue = new HashMap<>();

	private long reports;

	private long observeNanos;

	private final List<Double> sweepMillis = new ArrayList<>();

	private long summaryBytes;

	private int longestSummaryBytes;

	DrawnFleet(List<DrawnClass> classes, int workers, boolean uneven, double stragglerShare, long seed) {
		this.classes = classes;
		this.random = new Random(seed);
		this.stragglerShare = stragglerShare;
		for (int number = 0; number < workers; number++) {
			double speed = !uneven ? 1 : (number % 4 == 0) ? 0.55 : 1.2;
			this.workers.add(new Worker(new WorkerIncarnation(new WorkerId("worker-" + number), 1), speed));
		}
		this.observer = new RunObserver(this.state, nanos());
	}

	private long nanos() {
		return Duration.ofMillis(this.nowMillis).toNanos();
	}

	/** Continues with a new leader, which knows only the replicated state. */
	void changeLeader() {
		this.term++;
		this.sequence = 0;
		this.observer = new RunObserver(this.state, nanos());
	}

	/** Releases what was learned, so that its size can be told. */
	void forgetObserver() {
		this.observer = null;
	}

	long nowMillis() {
		return this.nowMillis;
	}

	int ended() {
		return this.ended;
	}

	List<Sample> samples() {
		return this.samples;
	}

	long reports() {
		return this.reports;
	}

	long observeNanos() {
		return this.observeNanos;
	}

	/**
	 * Forecasts the remaining times of all runs in progress.
	 * @return the sum of the remaining times in milliseconds
	 */
	long forecastAll() {
		long sum = 0;
		for (Worker worker : this.workers) {
			for (Run run : worker.running) {
				int percent = (int) Math.min(100, 100 * run.doneMillis / run.workMillis);
				sum += this.observer.forecast()
					.remainingMillis(run.task, 1, new RunClass(run.drawn.queue(), new AccountId("account-0")),
							run.estimate, percent, Quantile.CAUTIOUS);
			}
		}
		return sum;
	}

	/**
	 * Returns the times of the reports in whose turn all runs were compared.
	 * @return the times in milliseconds
	 */
	double[] sweepMillis() {
		return this.sweepMillis.stream().mapToDouble(Double::doubleValue).toArray();
	}

	long summaryBytes() {
		return this.summaryBytes;
	}

	int longestSummaryBytes() {
		return this.longestSummaryBytes;
	}

	int running() {
		return this.workers.stream().mapToInt((worker) -> worker.running.size()).sum();
	}

	void setSpeed(int worker, double factor) {
		this.workers.get(worker).speed *= factor;
	}

	int runningOn(int worker) {
		return this.workers.get(worker).running.size();
	}

	int endedOf(String queue) {
		return this.endedByQueue.getOrDefault(queue, 0);
	}

	double speed(int worker) {
		return this.observer.forecast().speed(this.workers.get(worker).incarnation);
	}

	double trueSpeed(int worker) {
		return this.workers.get(worker).speed;
	}

	int size() {
		return this.workers.size();
	}

	void advance() {
		this.nowMillis += TICK_MILLIS;
		for (DrawnClass drawn : this.classes) {
			if (this.random.nextDouble() < drawn.perSecond() * TICK_MILLIS / 1000) {
				startJob(drawn);
			}
		}
		this.workers.forEach((worker) -> worker.running.forEach((run) -> run.advance()));
		List<FleetCommand> ends = new ArrayList<>();
		List<JobId> over = new ArrayList<>();
		for (Worker worker : this.workers) {
			if (this.nowMillis >= worker.nextReportMillis) {
				report(worker, ends, over);
			}
		}
		this.observer.summary(nanos()).ifPresent((summary) -> {
			int bytes = this.codec.encode(new FleetBatch(1, 1, List.of(summary))).length;
			this.summaryBytes += bytes;
			this.longestSummaryBytes = Math.max(this.longestSummaryBytes, bytes);
			ends.add(summary);
		});
		if (!over.isEmpty()) {
			ends.add(new FleetCommand.ForgetJobs(over));
		}
		commit(ends);
		this.observer.drainEvents();
	}

	private void commit(List<FleetCommand> commands) {
		if (!commands.isEmpty() && !this.state.apply(new FleetBatch(this.term, ++this.sequence, commands))) {
			throw new IllegalStateException("The fleet state rejected a batch of the only leader.");
		}
	}

	private void startJob(DrawnClass drawn) {
		JobId job = new JobId(String.format("%016x", ++this.jobs));
		AccountId account = new AccountId("account-" + this.random.nextInt(2));
		long estimate = drawn.estimate(this.random);
		StepSpec spec = new StepSpec(drawn.tasks(), ROOM, estimate, List.of(), drawn.gang(), false, Optional.empty(),
				Optional.empty(), 0, false, false, false);
		List<FleetCommand> commands = new ArrayList<>();
		commands.add(new FleetCommand.AcceptJob(job, drawn.queue(), account,
				new JobPlan("payload", List.of(spec), 0, 0, 1), this.nowMillis));
		double jobMillis = drawn.jobMillis(estimate, this.random);
		List<Run> runs = new ArrayList<>();
		double gangSpeed = Double.MAX_VALUE;
		boolean straggles = false;
		for (int index = 0; index < drawn.tasks(); index++) {
			Worker worker = this.workers.get(this.random.nextInt(this.workers.size()));
			Run run = new Run(new TaskId(job, 0, 0, index), worker, drawn, estimate);
			run.workMillis = drawn.gang() ? jobMillis : drawn.taskMillis(jobMillis, this.random);
			if (this.random.nextDouble() < this.stragglerShare / (drawn.gang() ? drawn.tasks() : 1)) {
				straggles = true;
				run.straggler = true;
				run.workMillis *= STRAGGLER_FACTOR;
			}
			gangSpeed = Math.min(gangSpeed, worker.speed);
			runs.add(run);
			commands.add(new FleetCommand.StartRun(run.task, 1, worker.incarnation));
		}
		commit(commands);
		RunClass runClass = new RunClass(drawn.queue(), account);
		double slowest = runs.stream()
			.mapToDouble((run) -> this.observer.forecast().speed(run.worker.incarnation))
			.min()
			.orElse(1);
		double total = this.observer.forecast().totalMillis(runClass, estimate, Quantile.MEDIAN);
		double longestWork = runs.stream().mapToDouble((run) -> run.workMillis).max().orElse(0);
		for (Run run : runs) {
			run.gang = drawn.gang() ? runs : List.of(run);
			if (drawn.gang()) {
				run.workMillis = longestWork;
			}
			double speed = drawn.gang() ? slowest : this.observer.forecast().speed(run.worker.incarnation);
			run.forecastMillis = total / speed;
			run.straggler = drawn.gang() ? straggles : run.straggler;
			run.number = this.endedByQueue.getOrDefault(drawn.queue(), 0);
			run.worker.running.add(run);
			this.observer.recordStart(run.task, 1, run.worker.incarnation, nanos());
		}
		this.open.put(job, runs);
	}

	private void report(Worker worker, List<FleetCommand> ends, List<JobId> over) {
		List<ReportedRun> running = new ArrayList<>();
		List<ReportedEnd> ended = new ArrayList<>();
		for (Run run : List.copyOf(worker.running)) {
			if (run.doneMillis < run.workMillis) {
				running.add(new ReportedRun(run.task, 1, "", (int) (100 * run.doneMillis / run.workMillis)));
			}
			else {
				worker.running.remove(run);
				ended.add(new ReportedEnd(++worker.ends, run.task, 1, RunOutcome.DONE, ""));
				record(run, over);
			}
		}
		worker.nextReportMillis = this.nowMillis + 200 + this.random.nextInt(3) * TICK_MILLIS;
		WorkerReport report = new WorkerReport(worker.incarnation, worker.incarnation.worker() + ":80",
				new ServiceId("service"), new ZoneId("zone"), "rack", Set.of(), ROOM, false, 1000, ++worker.reports,
				running, ended);
		long started = System.nanoTime();
		this.observer.observe(report, nanos());
		long nanos = System.nanoTime() - started;
		this.reports++;
		this.observeNanos += nanos;
		if (nanos > MIN_SWEEP_NANOS) {
			this.sweepMillis.add(nanos / 1e6);
		}
		ended.forEach(
				(end) -> ends.add(new FleetCommand.EndRun(end.task(), 1, worker.incarnation, RunOutcome.DONE, "")));
	}

	private void record(Run run, List<JobId> over) {
		List<Run> runs = this.open.get(run.task.job());
		runs.remove(run);
		// A gang is one sample.
		if (!run.drawn.gang() || runs.size() + 1 == run.drawn.tasks()) {
			this.ended++;
			this.endedByQueue.merge(run.drawn.queue(), 1, Integer::sum);
			this.samples.add(new Sample(run.number, run.drawn.queue(), run.straggler, run.elapsedMillis, run.estimate,
					run.forecastMillis));
		}
		if (runs.isEmpty()) {
			this.open.remove(run.task.job());
			over.add(run.task.job());
		}
	}

	/**
	 * A run that is done.
	 *
	 * @param number how many runs of its queue were done at its start
	 * @param queue the queue
	 * @param straggler whether its job has a straggler
	 * @param millis its run time
	 * @param estimate the caller's estimate
	 * @param forecast the forecast at its start, for the worker where it ran
	 */
	record Sample(int number, String queue, boolean straggler, double millis, double estimate, double forecast) {

		double callerError() {
			return Math.abs(Math.log(this.millis / this.estimate));
		}

		double forecastError() {
			return Math.abs(Math.log(this.millis / this.forecast));
		}

	}

	private static final class Worker {

		private final WorkerIncarnation incarnation;

		private final List<Run> running = new ArrayList<>();

		private double speed;

		private long nextReportMillis;

		private long reports;

		private long ends;

		private Worker(WorkerIncarnation incarnation, double speed) {
			this.incarnation = incarnation;
			this.speed = speed;
		}

	}

	private static final class Run {

		private final TaskId task;

		private final Worker worker;

		private final DrawnClass drawn;

		private final long estimate;

		private List<Run> gang = List.of();

		private double workMillis;

		private double doneMillis;

		private double elapsedMillis;

		private double forecastMillis;

		private boolean straggler;

		private int number;

		private Run(TaskId task, Worker worker, DrawnClass drawn, long estimate) {
			this.task = task;
			this.worker = worker;
			this.drawn = drawn;
			this.estimate = estimate;
		}

		private void advance() {
			if (this.doneMillis < this.workMillis) {
				double slowest = this.worker.speed;
				for (Run member : this.gang) {
					slowest = Math.min(slowest, member.worker.speed);
				}
				this.doneMillis += TICK_MILLIS * slowest;
				this.elapsedMillis += TICK_MILLIS;
			}
		}

	}

}
