package io.verbenatrack.server.leader;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.model.AccountDeclaration;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.FleetDefaults;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.LeaseClock;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.model.Urgency;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.baseline.FirstFitScheduler;
import io.verbenatrack.server.command.EntryCommand;
import io.verbenatrack.server.command.EntryReply;
import io.verbenatrack.server.log.CommandKind;
import io.verbenatrack.server.log.ControlStateMachine;
import io.verbenatrack.server.log.DecisionBatch;
import io.verbenatrack.server.log.JobsState;
import io.verbenatrack.state.RecordCodec;
import io.verbenatrack.state.claims.ClaimState;
import io.verbenatrack.state.configuration.ConfigurationState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LeaderDuty}.
 */
public class LeaderDutyTests {

	private static final Declarations DECLARED = new Declarations(FleetDefaults.STANDARD,
			List.of(new AccountDeclaration(new AccountId("a"), List.of(), 1, 0)), List.of());

	private final RecordCodec codec = RecordCodec.cbor();

	private final AtomicInteger failures = new AtomicInteger();

	private JobsState jobs;

	private ImmediateCommitLog log;

	private ScheduledExecutorService timer;

	private LeaderDuty duty;

	@BeforeMethod
	public void start() {
		this.failures.set(0);
		this.jobs = new JobsState(FirstFitScheduler::new, this.codec);
		this.log = new ImmediateCommitLog(
				new ControlStateMachine(new ConfigurationState(), new ClaimState(10, 10), this.jobs, this.codec));
		this.timer = Executors.newSingleThreadScheduledExecutor();
		this.duty = new LeaderDuty(this.log, this.jobs, this.codec,
				(url, action) -> CompletableFuture.completedFuture(WorkerPort.Delivery.TAKEN), this.timer,
				new FailingOnceClock(), LeaseClock.exact(MonotonicClock.system()),
				new LeaderLimits(16, 10, 2, 1, Duration.ofSeconds(10)), () -> DECLARED, new CountingListener());
		this.duty.start();
	}

	@AfterMethod
	public void stop() {
		this.duty.close();
		this.timer.shutdownNow();
	}

	@Test
	public void failedIterationIsReportedAndTheNextSessionContinues() throws Exception {
		assertThat(submitUntilAccepted("j")).isInstanceOf(EntryReply.JobStatus.class);
		assertThat(this.failures).hasValue(1);
		assertThat(this.jobs.view().jobs()).hasSize(1);
	}

	@Test
	public void batchWithAnUnexpectedSequenceIsNotApplied() {
		byte[] outOfSequence = this.codec.encode(new DecisionBatch(77, List.of()));
		byte[] result = this.log.machine().apply(1, CommandKind.DECISIONS.frame(outOfSequence));
		assertThat(JobsState.isApplied(result)).isFalse();
	}

	@Test
	public void submissionIsAnsweredOnlyAfterItsEntryCommitted() throws Exception {
		EntryReply reply = submitUntilAccepted("k");
		assertThat(reply).isInstanceOf(EntryReply.JobStatus.class);
		assertThat(this.jobs.view().jobs()).extracting((job) -> job.job().id()).containsExactly(new JobId("k"));
	}

	@Test
	public void jobOverTheAccountLimitIsRefusedButAResentJobIsNot() throws Exception {
		submitUntilAccepted("first");
		EntryReply second = this.duty.execute(new EntryCommand.SubmitJob(job("second"))).get(10, TimeUnit.SECONDS);
		assertThat(second).isInstanceOf(EntryReply.Failed.class);
		assertThat(submitUntilAccepted("first")).isInstanceOf(EntryReply.JobStatus.class);
	}

	private static JobSpec job(String id) {
		return new JobSpec(new JobId(id), new AccountId("a"), "c", new GangShape(1, 1, 1), Duration.ofSeconds(1),
				Urgency.NORMAL, true);
	}

	private EntryReply submitUntilAccepted(String id) throws Exception {
		for (int attempt = 0; attempt < 10_000_000; attempt++) {
			EntryReply reply = this.duty.execute(new EntryCommand.SubmitJob(job(id))).get(10, TimeUnit.SECONDS);
			if (!(reply instanceof EntryReply.NotLeading) && !(reply instanceof EntryReply.Failed)) {
				return reply;
			}
			Thread.onSpinWait();
		}
		throw new AssertionError("The duty did not accept the job.");
	}

	private final class CountingListener implements SchedulingListener {

		@Override
		public void onDecision(SchedulingDecision decision) {
		}

		@Override
		public void onFailure(RuntimeException failure) {
			LeaderDutyTests.this.failures.incrementAndGet();
		}

	}

	/** A clock whose first reading throws, to simulate a failure during an iteration. */
	private static final class FailingOnceClock implements InstantSource {

		private final AtomicInteger readings = new AtomicInteger();

		@Override
		public Instant instant() {
			if (this.readings.getAndIncrement() == 0) {
				throw new IllegalStateException("The first reading fails.");
			}
			return Instant.EPOCH;
		}

	}

}
