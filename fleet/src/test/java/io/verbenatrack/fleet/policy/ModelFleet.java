package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Predicate;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.HeartbeatResponse;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.fleet.state.FleetBatch;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.fleet.state.JobState;
import io.verbenatrack.model.GrantedTime;
import io.verbenatrack.model.WorkerId;

/**
 * A simulation of leaders and workers on a network that loses and delays messages. The
 * same seed gives the same run. Leaders take turns as the fleet's event loop does.
 */
final class ModelFleet {

	private static final FleetTimings TIMINGS = FleetTimings.withLease(Duration.ofSeconds(6));

	private static final long TICK_MILLIS = 10;

	/** The time between turns without calls. */
	private static final long IDLE_TURN_MILLIS = 40;

	private static final long FAULTY_MILLIS = 30_000;

	/** Enough for every accepted job to end once there are no more faults. */
	private static final long END_MILLIS = 75_000;

	/** The same when the queues are routed to two of the five workers only. */
	private static final long END_OF_TWO_SERVICES_MILLIS = 150_000;

	/** The maximum delay of a report on its way. */
	private static final long MAX_DELAY_MILLIS = 10_000;

	private static final long MAX_SUSPENSION_MILLIS = 8000;

	private static final long MIN_WORK_MILLIS = 200;

	private static final long MAX_WORK_MILLIS = 4000;

	/** The probability of an order of the operators in each tick. */
	private static final double ORDER_PROBABILITY = 0.004;

	private static final int WORKERS = 5;

	/** Workers report at most this many ends at once. */
	private static final int LISTED_ENDS = 500;

	private final Random random;

	/** Factor of the probability of each fault in this seed, 1 to 7. */
	private final double faultRate;

	private final ModelChecker checker = new ModelChecker(this::now);

	private final FleetState state = new FleetState();

	private final PriorityQueue<Event> network = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));

	private final List<ModelWorker> workers = new ArrayList<>();

	private final List<Call> queued = new ArrayList<>();

	private final ModelJobs jobs;

	private final ModelClock clock;

	private Optional<FleetScheduler> scheduler = Optional.empty();

	/**
	 * A batch of this term of which the leader does not know whether it will be applied.
	 */
	private Optional<FleetBatch> undecided = Optional.empty();

	private long nowMillis;

	private long events;

	private long term = 1;

	private long sequence;

	private long leaderlessUntilMillis;

	private long pausedUntilMillis;

	private long suspendedUntilMillis;

	/** Whether the wall clock of the leader jumps again and again in this seed. */
	private final boolean jumpingClock;

	/** Whether the wall clocks of the workers jump again and again. */
	private final boolean jumpingWorkerClocks;

	private final ModelBirths births;

	private final ModelIntruder intruder;

	private final ModelOperators operators;

	private final long endMillis;

	private int newNames;

	/**
	 * Creates the simulation.
	 * @param seed the seed
	 * @param jumpingWorkerClocks whether the wall clocks of the workers jump again and
	 * again, so that an incarnation may state an earlier start than the one before
	 * @param operators what operators order meanwhile
	 */
	ModelFleet(long seed, boolean jumpingWorkerClocks, ModelOperators.Kind operators) {
		this.random = new Random(seed);
		this.jumpingWorkerClocks = jumpingWorkerClocks;
		this.births = new ModelBirths(this.random);
		this.intruder = new ModelIntruder(this.random);
		this.operators = operators(operators);
		this.jobs = new ModelJobs(this.random, this::now, this::at,
				(command) -> leads() && commit(List.of(command), false));
		this.endMillis = (operators == ModelOperators.Kind.CONFIGURATIONS) ? END_OF_TWO_SERVICES_MILLIS : END_MILLIS;
		this.faultRate = 1 + 6 * this.random.nextDouble();
		this.clock = new ModelClock(this.random);
		this.jumpingClock = this.random.nextBoolean();
	}

	private ModelOperators operators(ModelOperators.Kind kind) {
		Predicate<FleetCommand> log = (order) -> leads() && commit(List.of(order), this.nowMillis < FAULTY_MILLIS);
		return switch (kind) {
			case NONE -> ModelOperators.NONE;
			case EVACUATIONS -> new ModelEvacuations(this.random, this.checker, log);
			case CONFIGURATIONS -> new ModelConfigurations(this.random, this.checker, log);
		};
	}

	long now() {
		return this.nowMillis;
	}

	ModelChecker checker() {
		return this.checker;
	}

	ModelJobs jobs() {
		return this.jobs;
	}

	ModelOperators operators() {
		return this.operators;
	}

	/**
	 * Runs the simulation.
	 * @return the violations, empty if all promises were kept
	 */
	List<String> run() {
		beginTerm();
		if (!commit(List.of(new FleetCommand.AdoptConfiguration(Fixtures.configuration(1), new byte[0])), false)) {
			throw new IllegalStateException("no configuration");
		}
		for (int worker = 0; worker < WORKERS; worker++) {
			addWorker("worker-" + worker, "address-" + worker);
		}
		this.jobs.submitAll();
		while (this.nowMillis < this.endMillis && !settled()) {
			this.nowMillis += TICK_MILLIS;
			this.clock.advance(TICK_MILLIS, this.nowMillis < this.suspendedUntilMillis);
			while (!this.network.isEmpty() && this.network.peek().atMillis <= this.nowMillis) {
				this.network.poll().action.run();
			}
			if (this.nowMillis < FAULTY_MILLIS) {
				causeFaults();
			}
			else if (this.nowMillis == FAULTY_MILLIS) {
				this.workers.forEach((worker) -> worker.sick = false);
				this.operators.end();
			}
			this.operators.run(this.nowMillis);
			this.workers.forEach((worker) -> worker.run(TICK_MILLIS));
			this.workers.forEach(this::sendReport);
			if (this.nowMillis >= this.pausedUntilMillis
					&& (!this.queued.isEmpty() || this.nowMillis % IDLE_TURN_MILLIS == 0)) {
				turn();
			}
		}
		for (JobState job : this.state.unfinishedJobs()) {
			this.checker.report("UNFINISHED: " + job.job());
		}
		for (TaskId task : this.checker.tasksDone()) {
			boolean recorded = this.state.step(task).map((step) -> step.tasks().get(task.index()).done()).orElse(false);
			boolean ended = this.state.job(task.job()).filter((job) -> job.phase().ended()).isPresent();
			if (!recorded && !ended) {
				this.checker.report("LOST: the acknowledged done end of " + task);
			}
		}
		return this.checker.violations();
	}

	// Whether every job and every message has long been dealt with.
	private boolean settled() {
		return this.nowMillis > FAULTY_MILLIS && this.state.unfinishedJobs().isEmpty() && this.jobs.allSubmitted()
				&& this.workers.stream().allMatch(ModelWorker::settled);
	}

	private boolean chance(double probability) {
		return this.random.nextDouble() < probability;
	}

	private void at(long atMillis, Runnable action) {
		this.network.add(new Event(atMillis, ++this.events, action));
	}

	private void addWorker(String id, String address) {
		WorkerIncarnation incarnation = new WorkerIncarnation(new WorkerId(id),
				this.births.born(address, this.nowMillis));
		ModelWorker worker = new ModelWorker(incarnation, address, LISTED_ENDS, this.random, this, this::now);
		worker.nextReportMillis = this.nowMillis;
		this.workers.add(worker);
		this.checker.note("worker " + incarnation + " at " + address);
	}

	long workMillis() {
		return MIN_WORK_MILLIS + this.random.nextLong(MAX_WORK_MILLIS - MIN_WORK_MILLIS);
	}

	List<ModelWorker.Run> gangMembers(TaskId task, int number) {
		List<ModelWorker.Run> members = new ArrayList<>();
		for (int index = 0; index < this.jobs.spec(task).count(); index++) {
			for (ModelWorker worker : this.workers) {
				ModelWorker.Run run = worker.up ? worker.runOf(task.member(index)) : null;
				if (run != null && run.number == number) {
					members.add(run);
				}
			}
		}
		return members;
	}

	void endOfMember(TaskId task, int number, RunOutcome how) {
		for (int index = 0; index < this.jobs.spec(task).count(); index++) {
			TaskId member = task.member(index);
			for (ModelWorker worker : this.workers) {
				if (!member.equals(task)) {
					worker.endOfOtherMember(member, number, how);
				}
			}
		}
	}

	private void causeFaults() {
		if (this.operators != ModelOperators.NONE && chance(ORDER_PROBABILITY)) {
			this.operators.order(this.workers, this.nowMillis, this::at, this::changeLeader);
		}
		if (chance(this.faultRate * 0.0008)) {
			cut(anyWorker());
		}
		if (chance(this.faultRate * 0.002)) {
			intrude();
		}
		if (this.jumpingWorkerClocks && chance(this.faultRate * 0.002)) {
			this.births.step(anyWorker().address);
		}
		if (chance(this.faultRate * 0.0006)) {
			ModelWorker worker = anyWorker();
			crash(worker);
		}
		if (chance(this.faultRate * 0.0004)) {
			drain(anyWorker());
		}
		if (chance(this.faultRate * 0.0004)) {
			ModelWorker worker = anyWorker();
			worker.sick = true;
			at(this.nowMillis + 1000 + this.random.nextLong(8000), () -> worker.sick = false);
		}
		if (chance(this.faultRate * 0.0008)) {
			changeLeader();
		}
		if (chance(this.faultRate * 0.001)) {
			this.pausedUntilMillis = this.nowMillis + this.random.nextLong(900);
		}
		if (chance(this.faultRate * 0.0003)) {
			this.suspendedUntilMillis = this.nowMillis + this.random.nextLong(MAX_SUSPENSION_MILLIS);
			this.pausedUntilMillis = Math.max(this.pausedUntilMillis, this.suspendedUntilMillis);
			this.checker.note("suspended until " + this.suspendedUntilMillis);
		}
		if (this.jumpingClock && chance(0.02)) {
			this.clock.stepWallClock();
		}
	}

	private void cut(ModelWorker worker) {
		long until = this.nowMillis + 300 + this.random.nextLong(11_000);
		boolean both = chance(0.6);
		boolean out = both || chance(0.5);
		if (out) {
			worker.cutOutUntilMillis = until;
		}
		boolean in = both || !out;
		if (in) {
			worker.cutInUntilMillis = until;
		}
		this.checker.note("cut " + worker.incarnation + " until " + until + (out ? " out" : "") + (in ? " in" : ""));
		// Its reports may arrive after another incarnation has taken its place.
		if (chance(0.3)) {
			at(this.nowMillis + this.random.nextLong(until - this.nowMillis), () -> crash(worker));
		}
		if (chance(0.3)) {
			at(until + this.random.nextLong(-500, 2000), this::changeLeader);
		}
	}

	private void intrude() {
		WorkerReport report = this.intruder.report(anyWorker());
		this.checker.note("report of another writer " + report.life() + " at " + report.address());
		this.queued.add(new Call(Optional.empty(), report, this.nowMillis, this.clock.granted()));
	}

	private ModelWorker anyWorker() {
		List<ModelWorker> up = this.workers.stream().filter((worker) -> worker.up).toList();
		return up.isEmpty() ? this.workers.getLast() : up.get(this.random.nextInt(up.size()));
	}

	private void crash(ModelWorker worker) {
		if (!worker.up) {
			return;
		}
		this.checker.note("crash of " + worker.incarnation);
		worker.crash();
		boolean sameId = chance(0.5);
		String id = sameId ? worker.incarnation.worker().value() : "worker-n" + ++this.newNames;
		at(this.nowMillis + 20 + this.random.nextLong(3000), () -> addWorker(id, worker.address));
	}

	private void drain(ModelWorker worker) {
		worker.draining = true;
		this.checker.note("drain of " + worker.incarnation);
		at(this.nowMillis + 2000 + this.random.nextLong(4000), () -> {
			if (worker.up && !worker.cutOut(this.nowMillis)) {
				this.scheduler.ifPresent((current) -> current.markWorkerLeft(worker.incarnation.worker()));
			}
			at(this.nowMillis + this.random.nextLong(1500), () -> crash(worker));
		});
	}

	private void sendReport(ModelWorker worker) {
		if (!worker.up) {
			return;
		}
		if (worker.outstanding > 0 && this.nowMillis - worker.sentMillis > ModelWorker.RESPONSE_TIMEOUT_MILLIS) {
			worker.outstanding = 0;
			worker.nextReportMillis = this.nowMillis + 50;
		}
		if (worker.outstanding > 0 || this.nowMillis < worker.nextReportMillis) {
			return;
		}
		WorkerReport report = worker.report();
		long sent = this.nowMillis;
		worker.sentMillis = sent;
		worker.nextReportMillis = this.nowMillis + 200;
		long arrives = this.nowMillis + 1 + this.random.nextLong(30);
		if (worker.cutOut(this.nowMillis)) {
			if (chance(0.5)) {
				return;
			}
			arrives = worker.cutOutUntilMillis + this.random.nextLong(2000);
		}
		else if (this.nowMillis < FAULTY_MILLIS) {
			if (chance(0.01)) {
				return;
			}
			if (chance(0.02)) {
				arrives += this.random.nextLong(MAX_DELAY_MILLIS);
			}
		}
		long atMillis = arrives;
		at(atMillis, () -> this.queued.add(new Call(Optional.of(worker), report, sent, this.clock.granted())));
	}

	private boolean leads() {
		return this.nowMillis >= this.leaderlessUntilMillis;
	}

	private void changeLeader() {
		this.checker.note("change of leader");
		this.undecided.filter((batch) -> chance(0.5)).ifPresent(this.state::apply);
		this.undecided = Optional.empty();
		this.scheduler = Optional.empty();
		this.term += 1 + this.random.nextInt(2);
		this.leaderlessUntilMillis = this.nowMillis + (chance(0.3) ? 0 : this.random.nextLong(1500));
		// Reports that reach the new leader before most workers do.
		if (this.nowMillis < FAULTY_MILLIS && chance(0.5)) {
			at(this.leaderlessUntilMillis, this::intrude);
		}
	}

	private void beginTerm() {
		if (this.scheduler.isEmpty()) {
			this.scheduler = Optional.of(new FleetScheduler(this.state, TIMINGS, this.term, this.clock.granted()));
			this.sequence = this.state.lastSequence(this.term);
			this.checker.note("term " + this.term + " from " + this.sequence);
		}
	}

	// The turn of the fleet's event loop.
	private void turn() {
		List<Call> calls = List.copyOf(this.queued);
		this.queued.clear();
		if (!leads()) {
			calls.forEach((call) -> call.worker
				.ifPresent((worker) -> at(this.nowMillis + 5, () -> worker.refused(call.report.sequence()))));
			return;
		}
		beginTerm();
		FleetScheduler current = this.scheduler.orElseThrow();
		List<FleetCommand> commands = new ArrayList<>();
		for (Call call : calls) {
			commands.addAll(receive(current, call));
		}
		commands.addAll(current.detectLostRuns(this.clock.granted()));
		boolean faulty = this.nowMillis < FAULTY_MILLIS;
		if (!commit(commands, faulty)) {
			return;
		}
		if (faulty && chance(this.faultRate * 0.0005)) {
			changeLeader();
			return;
		}
		if (!commit(current.placeTasks(this.clock.granted(), this.nowMillis), faulty)) {
			return;
		}
		int answered = (faulty && chance(this.faultRate * 0.001)) ? this.random.nextInt(calls.size() + 1)
				: Integer.MAX_VALUE;
		for (int index = 0; index < Math.min(answered, calls.size()); index++) {
			Call call = calls.get(index);
			HeartbeatResponse response = current.respond(call.report);
			call.worker.ifPresent((worker) -> respond(worker, call, response));
		}
		if (answered < Integer.MAX_VALUE) {
			changeLeader();
		}
		current.drainEvents();
	}

	// The next leader, which inherits the state alone, must take the same workers for
	// those of the fleet.
	private List<FleetCommand> receive(FleetScheduler current, Call call) {
		boolean member = new FleetMembership(this.state, new WorkerRegistry(0, TIMINGS)).includes(call.report);
		current.drainEvents();
		List<FleetCommand> commands = current.receiveReport(call.report, call.arrived).orElse(List.of());
		boolean followed = current.drainEvents()
			.stream()
			.noneMatch((event) -> event instanceof FleetEvent.ReportIgnored ignored
					&& ignored.reason() == IgnoreReason.UNKNOWN_SERVICE);
		if (member != followed) {
			this.checker.report("MEMBERSHIP: another leader decides otherwise on a report of " + call.report.life());
		}
		return commands;
	}

	private void respond(ModelWorker worker, Call call, HeartbeatResponse response) {
		boolean faulty = this.nowMillis < FAULTY_MILLIS;
		if (this.nowMillis < worker.cutInUntilMillis || (faulty && chance(0.01))) {
			return;
		}
		long delay = 1 + this.random.nextLong(30) + ((faulty && chance(0.03)) ? this.random.nextLong(1500) : 0);
		at(this.nowMillis + delay, () -> {
			worker.receive(response, call.sentMillis);
			worker.answered(call.report.sequence(), response.retryMillis());
		});
	}

	private boolean commit(List<FleetCommand> commands, boolean mayFail) {
		beginTerm();
		if (chance(0.3)) {
			applyUndecided();
		}
		if (commands.isEmpty()) {
			return true;
		}
		FleetBatch batch = new FleetBatch(this.term, this.sequence + 1, commands);
		double fate = mayFail ? this.random.nextDouble() : 1;
		if (fate < this.faultRate * 0.003) {
			this.checker.note("unknown outcome of " + commands);
			applyUndecided();
			if (fate < this.faultRate * 0.001) {
				this.state.apply(batch);
			}
			else if (fate < this.faultRate * 0.002) {
				this.undecided = Optional.of(batch);
			}
			this.scheduler = Optional.empty();
			if (chance(0.5)) {
				changeLeader();
			}
			return false;
		}
		applyUndecided();
		if (!this.state.apply(batch)) {
			this.scheduler = Optional.empty();
			return false;
		}
		commands.forEach((command) -> this.checker.note("decided " + command));
		this.sequence++;
		return true;
	}

	private void applyUndecided() {
		this.undecided
			.ifPresent((batch) -> this.checker.note("late " + this.state.apply(batch) + " " + batch.sequence()));
		this.undecided = Optional.empty();
	}

	private record Call(Optional<ModelWorker> worker, WorkerReport report, long sentMillis, GrantedTime arrived) {

	}

	private record Event(long atMillis, long order, Runnable action) {

	}

}
