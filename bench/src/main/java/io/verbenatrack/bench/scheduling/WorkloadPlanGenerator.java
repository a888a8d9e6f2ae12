package io.verbenatrack.bench.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.IntStream;

import io.verbenatrack.model.AccountDeclaration;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.FleetDefaults;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.Guarantee;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.RackId;
import io.verbenatrack.model.Urgency;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.WorkerSpec;
import io.verbenatrack.model.ZoneId;

/**
 * Generates the fleet, the declarations and the jobs of a run from its seed.
 */
final class WorkloadPlanGenerator {

	private static final double OFFERED_LOAD = 0.9;

	private static final int WORKERS_PER_RACK = 8;

	private static final int ACCELERATORS = 8;

	private static final double URGENT_SHARE = 0.1;

	private static final double CHECKPOINTABLE_SHARE = 0.8;

	private static final double RUN_TIME_SIGMA = 0.8;

	private static final double SMALLEST_FLEET = 30;

	/** Gang size and count of the guarantee of an account, by account number modulo 4. */
	private static final int[][] GUARANTEES = { { 64, 1 }, { 16, 2 }, { 8, 3 }, { 4, 6 } };

	private final SchedulingBenchOptions options;

	private final Workload workload;

	private final Random random;

	private final List<PlannedJob> jobs = new ArrayList<>();

	WorkloadPlanGenerator(SchedulingBenchOptions options, Workload workload) {
		this.options = options;
		this.workload = workload;
		this.random = new Random(options.seed() * Workload.values().length + workload.ordinal());
	}

	WorkloadPlan generate() {
		double share = 1.0 / this.options.jobs();
		IntStream.range(0, this.options.jobs()).forEach((job) -> generateJob((job + this.random.nextDouble()) * share));
		double work = this.jobs.stream().mapToDouble(PlannedJob::work).sum();
		long span = (long) (work / (OFFERED_LOAD * this.options.workers() * ACCELERATORS));
		this.jobs.replaceAll((job) -> new PlannedJob(job.spec(), job.arrivalMs() * span / Integer.MAX_VALUE,
				job.runTimeMs(), job.cancelMs()));
		addExtraJobs(span / 2);
		List<WorkerSpec> workers = IntStream.range(0, this.options.workers())
			.mapToObj(WorkloadPlanGenerator::worker)
			.toList();
		return new WorkloadPlan(this.workload, declarations(), workers, List.copyOf(this.jobs), span);
	}

	// Generates a job whose arrival time is scaled to the range from 0 to {@link
	// Integer#MAX_VALUE}.
	private void generateJob(double share) {
		boolean burst = this.random.nextDouble() < this.workload.burstShare();
		double arrival = burst ? this.workload.burstArrival(share) : this.workload.peakArrival(share);
		int sampledGang = this.options.shape().gang(this.random.nextInt(100));
		int gang = burst ? this.workload.burstGang() : sampledGang;
		double factor = Math.exp(this.random.nextGaussian() * RUN_TIME_SIGMA);
		long runTime = (long) (this.options.shape().medianRunTime().toMillis() * factor);
		Urgency urgency = (this.random.nextDouble() < URGENT_SHARE) ? Urgency.URGENT : Urgency.NORMAL;
		add((long) (arrival * Integer.MAX_VALUE), gang, runTime, urgency, OptionalLong.empty());
	}

	private void addExtraJobs(long at) {
		long secondMs = Duration.ofSeconds(1).toMillis();
		int count = switch (this.workload) {
			case ARRIVAL_BURST -> 2_000;
			case CANCELLATION_WAVE -> 10_000;
			default -> 0;
		};
		for (int job = 0; job < count; job++) {
			long offsetMs = this.random.nextLong(secondMs);
			boolean cancelled = this.workload == Workload.CANCELLATION_WAVE;
			long arrival = cancelled ? at - secondMs * this.random.nextInt(1, 600) : at + offsetMs;
			boolean urgent = job % (count / 5) == 0;
			OptionalLong cancel = (cancelled && !urgent) ? OptionalLong.of(at + offsetMs) : OptionalLong.empty();
			add(urgent ? at + offsetMs : arrival, urgent ? 4 : 1, this.random.nextLong(60, 300) * secondMs,
					urgent ? Urgency.URGENT : Urgency.NORMAL, cancel);
		}
	}

	private void add(long arrival, int gang, long runTime, Urgency urgency, OptionalLong cancel) {
		int accounts = this.options.shape().accounts(this.options.workers());
		int account = Math.min(this.random.nextInt(accounts), this.random.nextInt(accounts));
		Duration declared = Duration
			.ofMillis((long) (runTime * this.workload.estimateRatio(this.random.nextDouble() * 2 - 1)) + 1);
		boolean checkpointable = this.random.nextDouble() < CHECKPOINTABLE_SHARE;
		JobSpec spec = new JobSpec(new JobId("job-" + this.jobs.size()), account(account), "class-" + gang,
				new GangShape(gang, 4, 16), declared, urgency, checkpointable);
		this.jobs.add(new PlannedJob(spec, arrival, runTime, cancel));
	}

	private Declarations declarations() {
		int accounts = this.options.shape().accounts(this.options.workers());
		int scale = Math.max(1, (int) (this.options.workers() * 4 / (SMALLEST_FLEET * accounts)));
		List<AccountDeclaration> declared = IntStream.range(0, accounts).mapToObj((number) -> {
			int[] guarantee = GUARANTEES[number % GUARANTEES.length];
			GangShape shape = new GangShape(guarantee[0], 8, 32);
			return new AccountDeclaration(account(number), List.of(new Guarantee(shape, guarantee[1] * scale)), 1,
					number);
		}).toList();
		FleetDefaults standard = FleetDefaults.STANDARD;
		FleetDefaults defaults = new FleetDefaults(this.options.shape().completionTimeWeight(),
				standard.checkpointGrace(), standard.leaseDuration(), standard.quarantineAfterFailures(),
				standard.quarantineProbation(), standard.quarantineMaximumShare(), standard.refuseAfterWorkers(),
				standard.backfill());
		return new Declarations(defaults, declared, List.of());
	}

	private static AccountId account(int number) {
		return new AccountId("account-%02d".formatted(number));
	}

	private static WorkerSpec worker(int number) {
		int rack = number / WORKERS_PER_RACK;
		return new WorkerSpec(new WorkerId("worker-%04d".formatted(number)), new ZoneId("zone-" + rack % 3),
				new RackId("rack-%03d".formatted(rack)), number % WORKERS_PER_RACK, 64, 256, ACCELERATORS);
	}

}
