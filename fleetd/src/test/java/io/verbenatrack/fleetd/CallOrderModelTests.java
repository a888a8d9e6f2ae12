package io.verbenatrack.fleetd;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.testng.annotations.Test;

import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.fleet.model.CallLimits;
import io.verbenatrack.fleet.model.FleetAccount;
import io.verbenatrack.fleet.model.FleetConfiguration;
import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.Queue;
import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerPool;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.fleet.policy.EvacuationSettings;
import io.verbenatrack.fleet.policy.FleetScheduler;
import io.verbenatrack.fleet.policy.FleetTimings;
import io.verbenatrack.fleet.policy.JobAdmission;
import io.verbenatrack.fleet.state.Cancellation;
import io.verbenatrack.fleet.state.FleetBatch;
import io.verbenatrack.fleet.state.FleetCodec;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.fleet.state.JobState;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.GrantedTime;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.ZoneId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays seeds of calls of two client accounts that submit, cancel and query jobs under
 * the same few ids in any order and more than once, beside commits that fail, changes of
 * leader and snapshots.
 */
public class CallOrderModelTests {

	/** More seeds are played by hand: the properties model.firstSeed and model.seeds. */
	private static final long FIRST_SEED = Long.getLong("model.firstSeed", 1);

	private static final int SEEDS = Integer.getInteger("model.seeds", 20);

	private static final int TURNS = 200;

	private static final int MAX_CALLS_PER_TURN = 4;

	private static final int JOBS = 6;

	private static final ServiceId SERVICE = new ServiceId("service");

	private static final FleetTimings TIMINGS = FleetTimings.withLease(Duration.ofSeconds(6));

	private final FleetCodec codec = new FleetCodec();

	private Random random;

	private FleetState state;

	private FleetScheduler scheduler;

	private long term;

	private long sequence;

	private long nowMillis;

	private long reports;

	/** The cancellations that were sent, acknowledged or not. */
	private Set<Cancellation> requested;

	private Set<Cancellation> cancelled;

	private Set<JobId> submittedJobs;

	// Guards against UNASKED: no task starts for a job whose cancellation was
	// acknowledged, and no job is shown that nobody submitted.
	@Test
	public void acknowledgedCancellationsHoldInEverySeed() throws IOException {
		for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
			play(seed);
		}
	}

	private void play(long seed) throws IOException {
		this.random = new Random(seed);
		this.state = new FleetState();
		this.term = 0;
		this.nowMillis = 0;
		this.reports = 0;
		this.cancelled = new HashSet<>();
		this.requested = new HashSet<>();
		this.submittedJobs = new HashSet<>();
		beginTerm();
		commit(List.of(new FleetCommand.AdoptConfiguration(configuration(), new byte[0])));
		for (int turn = 0; turn < TURNS; turn++) {
			this.nowMillis += this.random.nextInt(400);
			if (this.random.nextInt(10) == 0) {
				beginTerm();
			}
			if (this.random.nextInt(20) == 0) {
				restoreFromSnapshot();
			}
			playTurn("seed " + seed + ", turn " + turn);
		}
	}

	private void beginTerm() {
		this.term++;
		this.sequence = 0;
		this.scheduler = new FleetScheduler(this.state, TIMINGS, this.term, now());
	}

	private void restoreFromSnapshot() throws IOException {
		ByteArrayOutputStream snapshot = new ByteArrayOutputStream();
		this.codec.snapshot(this.state, snapshot);
		this.codec.restore(this.state, new ByteArrayInputStream(snapshot.toByteArray()));
	}

	private void playTurn(String place) {
		CallDecider decider = new CallDecider(this.scheduler, this.state, new JobAdmission(Long.MAX_VALUE),
				new EvacuationDecider(this.scheduler.evacuationOrders(), EvacuationSettings.DEFAULT, now()),
				this.nowMillis);
		List<FleetCall> calls = new ArrayList<>();
		calls.add(heartbeat());
		for (int call = this.random.nextInt(MAX_CALLS_PER_TURN); call >= 0; call--) {
			calls.add(randomCall());
		}
		List<CallDecision> decisions = calls.stream().map((call) -> decider.decide(call, now())).toList();
		List<FleetCommand> commands = new ArrayList<>();
		decisions.forEach((decision) -> commands.addAll(decision.commands()));
		this.scheduler.forgetCancellations(now()).ifPresent(commands::add);
		if (this.random.nextInt(15) == 0) {
			// The outcome of the commit is unknown to the callers.
			if (this.random.nextBoolean()) {
				commit(commands);
			}
			beginTerm();
			return;
		}
		commit(commands);
		List<FleetCommand> starts = this.scheduler.placeTasks(now(), this.nowMillis);
		starts.forEach((start) -> checkStart((FleetCommand.StartRun) start, place));
		commit(starts);
		for (int index = 0; index < calls.size(); index++) {
			checkReply(calls.get(index), decisions.get(index).reply().get(), place);
		}
	}

	private void checkStart(FleetCommand.StartRun start, String place) {
		JobState job = this.state.job(start.task().job()).orElseThrow();
		assertThat(this.cancelled).as("%s: start of %s", place, start.task())
			.doesNotContain(new Cancellation(job.account(), job.job()));
	}

	private void checkReply(FleetCall call, FleetReply reply, String place) {
		switch (call) {
			case FleetCall.SubmitJob submit -> {
				boolean refused = reply.equals(new FleetReply.JobCancelled());
				assertThat(refused ? this.requested.contains(cancellation(submit.origin()))
						: reply.equals(new FleetReply.Stored()))
					.as("%s: %s of %s", place, reply, submit.origin())
					.isTrue();
			}
			case FleetCall.CancelJob cancel -> {
				assertThat(reply).as(place).isIn(new FleetReply.Stored(), new FleetReply.NoSuchJob());
				this.cancelled.add(cancellation(cancel.origin()));
			}
			case FleetCall.AskState ask -> {
				boolean shown = reply instanceof FleetReply.Phase;
				assertThat(!shown || this.submittedJobs.contains(cancellation(ask.origin()).job()))
					.as("%s: %s is shown", place, ask.origin())
					.isTrue();
			}
			default -> assertThat(reply).as(place).isInstanceOf(FleetReply.Orders.class);
		}
	}

	private FleetCall randomCall() {
		int account = 1 + this.random.nextInt(2);
		String path = "/q/%016x".formatted(this.random.nextInt(JOBS));
		FleetCall.Origin origin = new FleetCall.Origin("host", path, "key-" + account);
		return switch (this.random.nextInt(3)) {
			case 0 -> submit(origin);
			case 1 -> {
				this.requested.add(cancellation(origin));
				yield new FleetCall.CancelJob(origin);
			}
			default -> new FleetCall.AskState(origin);
		};
	}

	private FleetCall submit(FleetCall.Origin origin) {
		this.submittedJobs.add(cancellation(origin).job());
		StepSpec step = new StepSpec(1, new Resources(1, 1, 1), 1000, List.of(), false, false, Optional.empty(),
				Optional.empty(), 0, false, false, false);
		return new FleetCall.SubmitJob(origin, new JobPlan("payload", List.of(step), 0, 0, 1));
	}

	private static Cancellation cancellation(FleetCall.Origin origin) {
		return new Cancellation(new AccountId("account-" + origin.key().substring("key-".length())),
				new JobId(origin.path().substring("/q/".length())));
	}

	private FleetCall heartbeat() {
		return new FleetCall.Heartbeat(
				new WorkerReport(new WorkerIncarnation(new WorkerId("w"), 1), "w:1", SERVICE, new ZoneId("z"), "r",
						Set.of("r"), new Resources(1000, 1000, 1000), false, 0, ++this.reports, List.of(), List.of()));
	}

	private static FleetConfiguration configuration() {
		Queue queue = new Queue("q", "host", "/q/", SERVICE, 0, 1, 1, 1000, 3000, false);
		List<FleetAccount> accounts = List.of(new FleetAccount(new AccountId("account-1"), List.of("key-1"), 0),
				new FleetAccount(new AccountId("account-2"), List.of("key-2"), 0));
		return new FleetConfiguration(1, List.of(queue), List.of(new WorkerPool(SERVICE, true)),
				new CallLimits(1, 1, 1, 1), accounts);
	}

	private void commit(List<FleetCommand> commands) {
		assertThat(this.state.apply(new FleetBatch(this.term, ++this.sequence, commands))).isTrue();
	}

	private GrantedTime now() {
		return new GrantedTime(Duration.ofMillis(this.nowMillis).toNanos());
	}

}
