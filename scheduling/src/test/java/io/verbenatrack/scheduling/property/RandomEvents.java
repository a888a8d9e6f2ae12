package io.verbenatrack.scheduling.property;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import io.verbenatrack.model.AccountDeclaration;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.FencingToken;
import io.verbenatrack.model.FleetDefaults;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.Guarantee;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.RackId;
import io.verbenatrack.model.Slot;
import io.verbenatrack.model.Urgency;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.WorkerSpec;
import io.verbenatrack.model.ZoneId;
import io.verbenatrack.scheduling.MemberReport;
import io.verbenatrack.scheduling.Scheduler;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.SchedulingEvent;

/**
 * A seeded random sequence of events. Workers answer in any order, late, twice or not at
 * all.
 */
final class RandomEvents {

	private static final int TRACE_LENGTH = 12;

	private static final int RACK_SIZE = 4;

	private static final int[] GANGS = { 1, 1, 2, 3, 4, 5, 8, 8, 16, 24, 32, 64 };

	private final InvariantChecker checker = new InvariantChecker();

	private final Deque<String> trace = new ArrayDeque<>();

	private final Map<WorkerId, WorkerSpec> announced = new TreeMap<>();

	private final TreeSet<WorkerId> unresponsive = new TreeSet<>();

	private final List<SchedulingEvent> pending = new ArrayList<>();

	private final List<JobSpec> jobs = new ArrayList<>();

	private final Random random;

	private final List<WorkerSpec> workers;

	private Consumer<Scheduler> check = (scheduler) -> {
	};

	private Scheduler leader;

	private Scheduler follower;

	private SchedulingEvent last = new SchedulingEvent.TimePassed();

	private Instant now = Instant.EPOCH;

	RandomEvents(long seed, int workers, Scheduler leader, Scheduler follower) {
		this.random = new Random(seed);
		this.leader = leader;
		this.follower = follower;
		this.workers = IntStream.range(0, workers).mapToObj(RandomEvents::worker).toList();
	}

	// Declares the accounts, announces the workers and then sends random events.
	void play(int events) {
		process(new SchedulingEvent.DeclarationsInForce(declarations()));
		this.workers.forEach((worker) -> process(new SchedulingEvent.WorkerAnnounced(worker)));
		for (int i = 0; i < events; i++) {
			this.now = this.now.plusMillis(this.random.nextInt(400));
			process(nextEvent());
		}
	}

	// Readmits every worker and delivers all answers. Returns whether every job got its
	// outcome within the given number of rounds.
	boolean recover(int rounds) {
		this.workers.forEach((worker) -> process(lose(worker.id())));
		this.workers.forEach((worker) -> process(announce(worker)));
		for (int i = 0; i < rounds && !this.checker.unfinished().isEmpty(); i++) {
			this.now = this.now.plusSeconds(1);
			List<SchedulingEvent> answers = List.copyOf(this.pending);
			this.pending.clear();
			answers.forEach(this::process);
			process(new SchedulingEvent.TimePassed());
		}
		return this.checker.unfinished().isEmpty();
	}

	// Swaps leader and follower, so that the follower makes the decisions from now on.
	void failOver() {
		Scheduler next = this.follower;
		this.follower = this.leader;
		this.leader = next;
	}

	// Makes a new scheduler the leader, restored from the replay of the current one.
	void restore(Scheduler fresh) {
		fresh.apply(this.leader.replay());
		this.follower = this.leader;
		this.leader = fresh;
	}

	void afterEach(Consumer<Scheduler> check) {
		this.check = check;
	}

	Collection<JobId> unfinished() {
		return this.checker.unfinished();
	}

	List<String> trace() {
		return List.copyOf(this.trace);
	}

	Scheduler leader() {
		return this.leader;
	}

	Scheduler follower() {
		return this.follower;
	}

	void process(SchedulingEvent event) {
		this.last = event;
		this.checker.beforeDecisions(event);
		List<SchedulingDecision> decisions = this.leader.decide(event, this.now);
		this.follower.apply(decisions);
		this.trace.add(this.now + " " + event + " -> " + decisions);
		if (this.trace.size() > TRACE_LENGTH) {
			this.trace.remove();
		}
		this.checker.afterDecisions(event, decisions);
		this.check.accept(this.leader);
		decisions.forEach(this::answer);
	}

	private SchedulingEvent nextEvent() {
		int percent = this.random.nextInt(100);
		if (percent < 50 && !this.pending.isEmpty()) {
			return this.pending.remove(this.random.nextInt(this.pending.size()));
		}
		if (percent < 68 || this.jobs.isEmpty()) {
			this.jobs.add(job(this.jobs.size()));
			return new SchedulingEvent.JobSubmitted(this.jobs.getLast());
		}
		JobSpec known = this.jobs.get(this.random.nextInt(this.jobs.size()));
		if (percent < 72) {
			return new SchedulingEvent.JobCancelled(known.id());
		}
		if (percent < 74) {
			return new SchedulingEvent.JobSubmitted(known);
		}
		if (percent < 76) {
			return this.last;
		}
		if (percent < 80) {
			return new SchedulingEvent.UsageReported(known.id(), Duration.ofSeconds(this.random.nextInt(600)),
					Duration.ofSeconds(this.random.nextInt(300)), known.shape().memoryGib());
		}
		return (percent < 88) ? nextWorkerEvent() : new SchedulingEvent.TimePassed();
	}

	private SchedulingEvent nextWorkerEvent() {
		WorkerSpec worker = this.workers.get(this.random.nextInt(this.workers.size()));
		if (!this.announced.containsKey(worker.id())) {
			return announce(worker);
		}
		if (this.unresponsive.contains(worker.id())) {
			return lose(worker.id());
		}
		if (this.random.nextInt(4) == 0) {
			return new SchedulingEvent.WorkerDraining(worker.id());
		}
		this.unresponsive.add(worker.id());
		return new SchedulingEvent.TimePassed();
	}

	private SchedulingEvent announce(WorkerSpec worker) {
		this.announced.put(worker.id(), worker);
		return new SchedulingEvent.WorkerAnnounced(worker);
	}

	private SchedulingEvent lose(WorkerId worker) {
		this.unresponsive.remove(worker);
		this.announced.remove(worker);
		return new SchedulingEvent.WorkerLost(worker);
	}

	private void answer(SchedulingDecision decision) {
		switch (decision) {
			case SchedulingDecision.PlaceGang place -> report(place.job(), place.token(), MemberReport.PREPARED);
			case SchedulingDecision.StartGang start -> report(start.job(), start.token(), MemberReport.STARTED);
			case SchedulingDecision.CheckpointGang save -> report(save.job(), save.token(), MemberReport.CHECKPOINTED);
			case SchedulingDecision.StopGang stop -> report(stop.job(), stop.token(), MemberReport.STOPPED);
			default -> {
			}
		}
	}

	// Queues the report of each member whose worker still responds.
	private void report(JobId job, FencingToken token, MemberReport report) {
		for (Slot slot : this.checker.members(job, token)) {
			if (!this.unresponsive.contains(slot.worker())) {
				this.pending.add(new SchedulingEvent.MemberReported(job, token, slot.worker(), report));
			}
			if (report == MemberReport.STARTED && !this.unresponsive.contains(slot.worker())) {
				MemberReport end = (this.random.nextInt(20) == 0) ? MemberReport.FAILED : MemberReport.FINISHED;
				this.pending.add(new SchedulingEvent.MemberReported(job, token, slot.worker(), end));
			}
		}
	}

	private JobSpec job(int number) {
		int gang = GANGS[this.random.nextInt(GANGS.length)];
		int account = this.random.nextInt(21);
		GangShape shape = new GangShape(gang, this.random.nextInt(1, 10), this.random.nextInt(1, 40));
		return new JobSpec(new JobId("j-" + number), new AccountId((account < 20) ? "a-" + account % 3 : "unknown"),
				"class-" + gang, shape, Duration.ofSeconds(this.random.nextInt(1, 600)),
				(this.random.nextInt(5) == 0) ? Urgency.URGENT : Urgency.NORMAL, this.random.nextInt(4) != 0);
	}

	private Declarations declarations() {
		int half = this.workers.size() / 2;
		return new Declarations(FleetDefaults.STANDARD,
				List.of(account("a-0", 16, half / 2), account("a-1", 4, half), account("a-2", 0, 0)), List.of());
	}

	private static AccountDeclaration account(String id, int gang, int count) {
		Optional<Guarantee> guarantee = Optional.of(count)
			.filter((gangs) -> gangs > 0)
			.map((gangs) -> new Guarantee(new GangShape(gang, 8, 32), gangs));
		return new AccountDeclaration(new AccountId(id), guarantee.stream().toList(), 1, gang);
	}

	private static WorkerSpec worker(int number) {
		return new WorkerSpec(new WorkerId("w-%02d".formatted(number)), new ZoneId("z"),
				new RackId("r-" + number / RACK_SIZE), number % RACK_SIZE, 64, 256, 8);
	}

}
