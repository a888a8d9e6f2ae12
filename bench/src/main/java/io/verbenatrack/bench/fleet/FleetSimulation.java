package io.verbenatrack.bench.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import io.verbenatrack.bench.fleet.GangMembers.GangRun;
import io.verbenatrack.fleet.model.CallLimits;
import io.verbenatrack.fleet.model.FleetAccount;
import io.verbenatrack.fleet.model.FleetConfiguration;
import io.verbenatrack.fleet.model.HeartbeatResponse;
import io.verbenatrack.fleet.model.JobPhase;
import io.verbenatrack.fleet.model.Queue;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerPool;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.fleet.policy.FleetScheduler;
import io.verbenatrack.fleet.policy.FleetTimings;
import io.verbenatrack.fleet.state.FleetBatch;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.GrantedTime;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.ServiceId;

/**
 * Simulates a fleet under a load pattern and checks its invariants.
 */
public final class FleetSimulation {

	/** Step of the virtual clock. */
	private static final long TICK_MILLIS = 25;

	private static final int MAXIMUM_ATTEMPTS = 3;

	private static final long GANG_WAIT_MILLIS = 3000;

	private static final long REPORT_AFTER_END_MILLIS = 50;

	/** The same timings that the daemon uses. */
	private static final FleetTimings TIMINGS = FleetTimings.withLease(Duration.ofSeconds(6));

	/** Time until the workers report again after all machines lost power. */
	private static final long POWER_LOSS_MILLIS = 2000;

	/** Slowdown of a rack-sensitive gang that is spread over several racks. */
	private static final double RACK_SPREAD_SLOWDOWN = 3;

	private final FleetLoad load;

	private final FleetState state = new FleetState();

	private final List<SimulatedWorker> workers = new ArrayList<>();

	private final Map<JobId, ArrivingJob> acceptedJobs = new HashMap<>();

	private final Map<JobId, Long> completed = new HashMap<>();

	private final Map<GangRun, Long> gangs = new HashMap<>();

	private final SplittableRandom random;

	private final List<String> violations = new ArrayList<>();

	private final GangMembers members = new GangMembers();

	private final RunStatistics statistics = new RunStatistics();

	private FleetScheduler scheduler = new FleetScheduler(this.state, TIMINGS, 1, time(0));

	private long term = 1;

	private long sequence;

	private FleetSimulation(FleetLoad load, long seed) {
		this.load = load;
		this.random = new SplittableRandom(seed * 31 + 7);
		FleetConditions conditions = load.conditions();
		int workersPerZone = (load.size().workers() + conditions.zones() - 1) / conditions.zones();
		for (int number = 0; number < load.size().workers(); number++) {
			int zone = number / workersPerZone;
			String rack = "rack-" + zone + "-" + number % workersPerZone / conditions.workersPerRack();
			this.workers.add(new SimulatedWorker(number, zone, rack, conditions, this.statistics, this.members));
		}
	}

	/**
	 * Runs a load pattern.
	 * @param load the load pattern
	 * @param seed the seed for the jobs and for the affected workers
	 * @return the results
	 */
	public static FleetResult run(FleetLoad load, long seed) {
		return new FleetSimulation(load, seed).run(ArrivalGenerator.generate(load, seed, load.size().accounts()));
	}

	private FleetResult run(List<ArrivingJob> jobs) {
		commit(List.of(new FleetCommand.AdoptConfiguration(configuration(), new byte[0])));
		int next = 0;
		long end = (this.load.seconds() + this.load.size().drainSeconds()) * 1000L;
		for (long now = 0; now < end; now += TICK_MILLIS) {
			applyWorkerFaults(now);
			if (this.load.conditions().restartSecond().orElse(-1) * 1000 == now) {
				restartAll(now);
			}
			while (next < jobs.size() && jobs.get(next).atMillis() <= now) {
				accept(jobs.get(next++), now);
			}
			advanceRuns(now);
			runTurn(now);
		}
		return new FleetResult(jobs, this.completed,
				this.workers.stream().mapToDouble(SimulatedWorker::lostCoreSeconds).sum(), this.violations,
				this.statistics);
	}

	private void restartAll(long now) {
		this.workers.forEach((worker) -> worker.restart(now, POWER_LOSS_MILLIS));
		this.scheduler = new FleetScheduler(this.state, TIMINGS, ++this.term, time(now));
		this.sequence = 0;
	}

	private FleetConfiguration configuration() {
		List<Queue> queues = this.load.classes()
			.stream()
			.map((jobClass) -> new Queue(jobClass.name(), "host", "/" + jobClass.name() + "/", new ServiceId("service"),
					jobClass.priority(), MAXIMUM_ATTEMPTS, jobClass.stretch(), jobClass.latencyMillis(), 3000, true))
			.toList();
		List<FleetAccount> accounts = new ArrayList<>();
		for (int account = 0; account < this.load.size().accounts(); account++) {
			accounts.add(new FleetAccount(new AccountId("account-" + account), List.of("key-" + account),
					this.load.size().accountGuarantee()));
		}
		return new FleetConfiguration(1, queues, List.of(new WorkerPool(new ServiceId("service"), true)),
				new CallLimits(1, 1, 1, 1), accounts);
	}

	private static GrantedTime time(long millis) {
		return new GrantedTime(Duration.ofMillis(millis).toNanos());
	}

	private void commit(List<FleetCommand> commands) {
		if (!commands.isEmpty() && !this.state.apply(new FleetBatch(this.term, ++this.sequence, commands))) {
			throw new IllegalStateException("The fleet state rejected a batch of the current leader.");
		}
	}

	private void accept(ArrivingJob job, long now) {
		this.acceptedJobs.put(job.job(), job);
		commit(List.of(new FleetCommand.AcceptJob(job.job(), job.jobClass().name(), job.account(), job.plan(), now)));
	}

	private void runTurn(long now) {
		List<SimulatedWorker> reporting = this.workers.stream().filter((worker) -> worker.reports(now)).toList();
		List<WorkerReport> reports = reporting.stream().map(SimulatedWorker::report).toList();
		List<FleetCommand> ends = new ArrayList<>();
		reports.forEach((report) -> ends.addAll(this.scheduler.receiveReport(report, time(now)).orElse(List.of())));
		ends.addAll(this.scheduler.detectLostRuns(time(now)));
		commit(ends);
		commit(this.scheduler.placeTasks(time(now), now));
		this.statistics.addEvents(this.scheduler.drainEvents());
		for (int index = 0; index < reporting.size(); index++) {
			HeartbeatResponse orders = this.scheduler.respond(reports.get(index));
			reporting.get(index).receive(orders, now, this::createRun);
		}
		recordCompletions(now);
	}

	private void recordCompletions(long now) {
		for (JobId job : this.acceptedJobs.keySet()) {
			if (!this.completed.containsKey(job) && this.state.job(job).orElseThrow().phase() == JobPhase.COMPLETED) {
				this.completed.put(job, now);
			}
		}
	}

	private SimulatedRun createRun(HeartbeatResponse.Start start, SimulatedWorker worker, long now) {
		TaskId task = start.task();
		StepSpec step = this.state.step(task).orElseThrow().spec();
		ArrivingJob job = this.acceptedJobs.get(task.job());
		this.workers.stream()
			.filter((other) -> other.runs().containsKey(task) && other != worker)
			.forEach((other) -> this.violations.add("two concurrent runs of " + task));
		this.gangs.putIfAbsent(new GangRun(task.job(), start.run()), now);
		return new SimulatedRun(task, start.run(), step.room(), step.checkpoints(), step.gang(),
				job.workMillis()[task.index()], start.checkpoint());
	}

	private void advanceRuns(long now) {
		Set<GangRun> broken = new HashSet<>();
		Set<GangRun> finished = new HashSet<>();
		Map<GangRun, Double> slowest = slowestMembers();
		for (SimulatedWorker worker : this.workers) {
			worker.checkLease(now);
			for (SimulatedRun run : List.copyOf(worker.runs().values())) {
				GangRun gang = new GangRun(run.task.job(), run.run);
				if (run.gang && !allMembersPresent(run, gang, now, broken)) {
					continue;
				}
				double speed = run.gang ? slowest.get(gang) : worker.speed();
				run.advance(TICK_MILLIS * speed);
				if (worker.failing) {
					worker.end(run, RunOutcome.FAILED);
					worker.scheduleReport(now, REPORT_AFTER_END_MILLIS);
					broken.add(gang);
				}
				else if (run.finished()) {
					worker.end(run, RunOutcome.DONE);
					worker.scheduleReport(now, REPORT_AFTER_END_MILLIS);
					finished.add(gang);
				}
			}
		}
		endGangs(now, broken, finished);
	}

	// The members of a gang run in lockstep, so the slowest one determines the speed of
	// all.
	private Map<GangRun, Double> slowestMembers() {
		Map<GangRun, Double> slowest = new HashMap<>();
		for (SimulatedWorker worker : this.workers) {
			for (SimulatedRun run : worker.runs().values()) {
				slowest.merge(new GangRun(run.task.job(), run.run), worker.speed(), Math::min);
			}
		}
		return slowest;
	}

	private boolean allMembersPresent(SimulatedRun run, GangRun gang, long now, Set<GangRun> broken) {
		int size = this.acceptedJobs.get(run.task.job()).workMillis().length;
		int present = this.members.count(gang);
		if (present == size) {
			boolean spread = this.members.spreadOverRacks(gang);
			boolean sensitive = this.state.step(run.task).orElseThrow().spec().rackSensitive();
			run.rackSlowdown = (spread && sensitive) ? RACK_SPREAD_SLOWDOWN : 1;
			this.gangs.put(gang, Long.MAX_VALUE / 2);
			return true;
		}
		long startedMillis = this.gangs.get(gang);
		if (startedMillis > Long.MAX_VALUE / 4) {
			broken.add(gang);
		}
		else if (now - startedMillis > GANG_WAIT_MILLIS) {
			if (this.workers.stream().noneMatch((worker) -> worker.unresponsive)) {
				this.violations.add("gang " + gang + " did not form within " + GANG_WAIT_MILLIS + " ms: " + present
						+ " of " + size + " members");
			}
			broken.add(gang);
		}
		return false;
	}

	private void endGangs(long now, Set<GangRun> broken, Set<GangRun> finished) {
		for (SimulatedWorker worker : this.workers) {
			for (SimulatedRun run : List.copyOf(worker.runs().values())) {
				GangRun gang = new GangRun(run.task.job(), run.run);
				if (run.gang && (broken.contains(gang) || finished.contains(gang))) {
					worker.end(run, finished.contains(gang) ? RunOutcome.DONE : RunOutcome.BROKEN);
					worker.scheduleReport(now, REPORT_AFTER_END_MILLIS);
				}
			}
		}
	}

	private void applyWorkerFaults(long now) {
		for (FleetLoad.WorkerFault fault : this.load.workerFaults()) {
			long at = (long) (fault.startSecond() * 1000);
			long end = at + (long) (fault.durationSeconds() * 1000);
			if (now == at - at % TICK_MILLIS) {
				int count = (int) Math.ceil(fault.share() * this.workers.size());
				for (int index = 0; index < count; index++) {
					apply(fault.kind(), this.workers.get(this.random.nextInt(this.workers.size())));
				}
			}
			if (now == end - end % TICK_MILLIS) {
				this.workers.forEach(FleetSimulation::recover);
			}
		}
	}

	private static void apply(FleetLoad.WorkerFault.Kind kind, SimulatedWorker worker) {
		switch (kind) {
			case FAIL -> worker.failing = true;
			case SLOW -> worker.slowdown = 6;
			case STUCK -> worker.slowdown = 0;
			case SILENT -> worker.unresponsive = true;
			case LEAVE -> worker.draining = true;
		}
	}

	private static void recover(SimulatedWorker worker) {
		worker.failing = false;
		worker.slowdown = 1;
		worker.unresponsive = false;
	}

}
