package io.verbenatrack.fleetd;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.control.ReplicatedLog;
import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.fleet.model.CallLimits;
import io.verbenatrack.fleet.model.FleetConfiguration;
import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.Queue;
import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerPool;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.fleet.policy.FleetTimings;
import io.verbenatrack.fleet.policy.JobAdmission;
import io.verbenatrack.fleet.state.FleetCodec;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.LeaseClock;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.ZoneId;
import io.verbenatrack.telemetry.EventLog;
import io.verbenatrack.telemetry.Metrics;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link FleetLoop}: the replies to calls when a commit fails.
 */
public class FleetLoopTests {

	private static final ServiceId SERVICE = new ServiceId("service");

	/** Room for many small jobs, but not for one with thousands of tasks. */
	private static final long MAX_JOB_BYTES = 1_000_000;

	private static final FleetCall SUBMIT = new FleetCall.SubmitJob(
			new FleetCall.Origin("host", "/q/0123456789abcdef", ""),
			new JobPlan("payload", List.of(new StepSpec(1, new Resources(1, 1, 1), 1000, List.of(), false, false,
					Optional.empty(), Optional.empty(), 0, false, false, false)), 0, 0, 1));

	private final FleetCodec codec = new FleetCodec();

	private FleetStateMachine stateMachine;

	private FailingLog log;

	private FleetLoop loop;

	@BeforeMethod
	void startLoop() throws Exception {
		this.stateMachine = new FleetStateMachine(this.codec);
		this.log = new FailingLog();
		this.loop = new FleetLoop(this.log, this.stateMachine, this.codec,
				new FleetTimings(Duration.ofSeconds(6), Duration.ofMillis(250), Duration.ofSeconds(60),
						Duration.ofMillis(200), Duration.ofMillis(500), Duration.ofMinutes(4)),
				new JobAdmission(MAX_JOB_BYTES), LeaseClock.exact(MonotonicClock.system()), InstantSource.system(),
				EventLog.none(), new Metrics());
		this.loop.start();
		Queue queue = new Queue("q", "host", "/q/", SERVICE, 0, 1, 1, 1000, 3000, true);
		call(new FleetCall.ChangeConfiguration(new FleetConfiguration(1, List.of(queue),
				List.of(new WorkerPool(SERVICE, true)), new CallLimits(1, 1, 1, 1), List.of()), new byte[0]));
		call(new FleetCall.Heartbeat(new WorkerReport(new WorkerIncarnation(new WorkerId("w"), 1), "w:1", SERVICE,
				new ZoneId("z"), "r", Set.of("r"), new Resources(10, 10, 8), false, 0, 1, List.of(), List.of())));
	}

	@AfterMethod
	void stop() {
		this.loop.close();
	}

	private FleetReply call(FleetCall call) throws Exception {
		return this.loop.call(call, Duration.ofSeconds(5)).get(10, TimeUnit.SECONDS);
	}

	private boolean jobStored() {
		return this.stateMachine.read((state) -> state.job(new JobId("0123456789abcdef")).isPresent());
	}

	@Test
	public void committedCallIsAnswered() throws Exception {
		assertThat(call(SUBMIT)).isEqualTo(new FleetReply.Stored());
		assertThat(jobStored()).isTrue();
	}

	@Test
	public void uncommittedCallIsAnsweredAsNotLeading() throws Exception {
		this.log.failingCommand = FleetCommand.AcceptJob.class;
		assertThat(call(SUBMIT)).isInstanceOf(FleetReply.NotLeading.class);
		assertThat(jobStored()).isFalse();
	}

	@Test
	public void committedCallHasUnknownOutcomeWhenStartsAreNotCommitted() throws Exception {
		this.log.failingCommand = FleetCommand.StartRun.class;
		assertThat(call(SUBMIT)).isEqualTo(new FleetReply.OutcomeUnknown());
		assertThat(jobStored()).isTrue();
	}

	private static FleetCall submit(long number, int tasks) {
		StepSpec step = new StepSpec(tasks, new Resources(1, 1, 1), 1000, List.of(), false, false, Optional.empty(),
				Optional.empty(), 0, false, false, false);
		return new FleetCall.SubmitJob(new FleetCall.Origin("host", "/q/%016x".formatted(number), ""),
				new JobPlan("payload", List.of(step), 0, 0, 1));
	}

	// Guards against LOST: jobs were accepted until all replicas ran out of memory.
	@Test
	public void jobsThatTakeTooMuchMemoryAreRefusedUntilOthersHaveEnded() throws Exception {
		int tasks = 500;
		int accepted = 0;
		FleetReply reply = call(submit(accepted, tasks));
		while (reply instanceof FleetReply.Stored && accepted < 100) {
			accepted++;
			reply = call(submit(accepted, tasks));
		}
		assertThat(reply).isInstanceOfSatisfying(FleetReply.Refused.class, (refused) -> {
			assertThat(refused.problem().kind()).isEqualTo(ProblemKind.OVERLOADED);
			assertThat(refused.retryMillis()).isBetween(1000L, 30_000L);
		});
		assertThat(accepted).isBetween(2, 10);
		long refusedJob = accepted;
		assertThat(call(submit(0, tasks))).isEqualTo(new FleetReply.Stored());
		assertThat(call(new FleetCall.AskState(new FleetCall.Origin("host", "/q/%016x".formatted(refusedJob), ""))))
			.isEqualTo(new FleetReply.NoSuchJob());
		for (long job = 0; job < 2; job++) {
			assertThat(call(new FleetCall.CancelJob(new FleetCall.Origin("host", "/q/%016x".formatted(job), ""))))
				.isEqualTo(new FleetReply.Stored());
		}
		assertThat(call(submit(refusedJob, tasks))).isEqualTo(new FleetReply.Stored());
	}

	private static FleetCall heartbeat(long bornMillis, long sequence) {
		return heartbeat("w", bornMillis, sequence);
	}

	private static FleetCall heartbeat(String worker, long bornMillis, long sequence) {
		return new FleetCall.Heartbeat(new WorkerReport(new WorkerIncarnation(new WorkerId(worker), bornMillis),
				worker + ":1", SERVICE, new ZoneId("z"), "r", Set.of("r"), new Resources(10, 10, 8), false, 0, sequence,
				List.of(), List.of()));
	}

	@DataProvider
	Object[][] impossibleReports() {
		long nowMillis = System.currentTimeMillis();
		return new Object[][] { { Long.MAX_VALUE, 1 }, { nowMillis + Duration.ofHours(1).toMillis(), 1 },
				{ Long.MIN_VALUE, 1 }, { -1, 1 }, { nowMillis, Long.MAX_VALUE }, { nowMillis, 100_000 },
				{ 1, Long.MAX_VALUE }, { 1, -1 } };
	}

	// Guards against an entry of another writer that makes the true worker outdated.
	@Test(dataProvider = "impossibleReports")
	public void reportThatNoWorkerCanHaveSentIsRefused(long bornMillis, long sequence) throws Exception {
		assertThat(call(heartbeat(bornMillis, sequence))).isInstanceOf(FleetReply.Invalid.class);
		assertThat(call(heartbeat(1, 2))).isInstanceOfSatisfying(FleetReply.Orders.class,
				(orders) -> assertThat(orders.orders().leaseMillis()).isPositive());
	}

	// Guards against a row of one entry that ends the leader's term, with the calls of
	// its
	// turn left without a clear answer.
	@Test
	public void rowThatNamesATaskOutOfRangeEndsNoTerm() throws Exception {
		call(SUBMIT);
		JobId job = new JobId("0123456789abcdef");
		List<ReportedRun> running = List.of(new ReportedRun(new TaskId(job, -1, 0, 0), 1, "", 10),
				new ReportedRun(new TaskId(job, 0, 0, Integer.MAX_VALUE), 1, "", 10));
		List<ReportedEnd> ended = List
			.of(new ReportedEnd(Long.MAX_VALUE, new TaskId(job, 0, -1, -1), 1, RunOutcome.DONE, ""));
		FleetCall odd = new FleetCall.Heartbeat(new WorkerReport(new WorkerIncarnation(new WorkerId("w"), 1), "w:1",
				SERVICE, new ZoneId("z"), "r", Set.of("r"), new Resources(10, 10, 8), false, 0, 2, running, ended));
		assertThat(call(odd)).isInstanceOf(FleetReply.Orders.class);
		assertThat(call(SUBMIT)).isEqualTo(new FleetReply.Stored());
	}

	@Test
	public void workerWhoseClockIsAheadIsFollowed() throws Exception {
		assertThat(call(heartbeat("w2", System.currentTimeMillis() + 5000, 1))).isInstanceOfSatisfying(
				FleetReply.Orders.class, (orders) -> assertThat(orders.orders().leaseMillis()).isPositive());
	}

	/** Commits all batches except those that contain a given kind of command. */
	private final class FailingLog implements ReplicatedLog {

		private volatile Class<? extends FleetCommand> failingCommand;

		@Override
		public CompletableFuture<ProposalOutcome> propose(byte[] command) {
			Class<? extends FleetCommand> kind = this.failingCommand;
			boolean fails = kind != null
					&& FleetLoopTests.this.codec.batch(command).commands().stream().anyMatch(kind::isInstance);
			return CompletableFuture.completedFuture(fails ? new ProposalOutcome.NotLeader(Optional.empty())
					: new ProposalOutcome.Committed(1, FleetLoopTests.this.stateMachine.apply(1, command)));
		}

		@Override
		public CompletableFuture<Optional<Long>> confirmLeadership() {
			return CompletableFuture.completedFuture(Optional.of(1L));
		}

		@Override
		public Optional<InstanceId> leader() {
			return Optional.empty();
		}

		@Override
		public boolean leads() {
			return true;
		}

		@Override
		public long term() {
			return 1;
		}

		@Override
		public void close() {
			// No resources to release.
		}

	}

}
