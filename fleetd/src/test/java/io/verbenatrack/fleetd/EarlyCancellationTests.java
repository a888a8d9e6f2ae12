package io.verbenatrack.fleetd;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.fleet.model.CallLimits;
import io.verbenatrack.fleet.model.FleetAccount;
import io.verbenatrack.fleet.model.FleetConfiguration;
import io.verbenatrack.fleet.model.JobPhase;
import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.Queue;
import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerPool;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.fleet.state.JobState;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.ZoneId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link FleetLoop} with jobs that are cancelled before the call that submits
 * them arrives.
 */
public class EarlyCancellationTests extends ScriptedLoopFixture {

	private static final ServiceId SERVICE = new ServiceId("service");

	private static final String PATH = "/q/0123456789abcdef";

	private static final JobId JOB = new JobId("0123456789abcdef");

	@BeforeMethod
	void configure() throws Exception {
		Queue queue = new Queue("q", "host", "/q/", SERVICE, 0, 1, 1, 1000, 3000, false);
		List<FleetAccount> accounts = List.of(new FleetAccount(new AccountId("one"), List.of("key-1"), 0),
				new FleetAccount(new AccountId("two"), List.of("key-2"), 0));
		reply(call(new FleetCall.ChangeConfiguration(new FleetConfiguration(1, List.of(queue),
				List.of(new WorkerPool(SERVICE, true)), new CallLimits(1, 1, 1, 1), accounts), new byte[0])));
		reply(call(new FleetCall.Heartbeat(new WorkerReport(new WorkerIncarnation(new WorkerId("w"), 1), "w:1", SERVICE,
				new ZoneId("z"), "r", Set.of("r"), new Resources(10, 10, 8), false, 0, 1, List.of(), List.of()))));
	}

	private static FleetCall submit(String key) {
		StepSpec step = new StepSpec(1, new Resources(1, 1, 1), 1000, List.of(), false, false, Optional.empty(),
				Optional.empty(), 0, false, false, false);
		return new FleetCall.SubmitJob(new FleetCall.Origin("host", PATH, key),
				new JobPlan("payload", List.of(step), 0, 0, 1));
	}

	private static FleetCall cancel(String key) {
		return new FleetCall.CancelJob(new FleetCall.Origin("host", PATH, key));
	}

	private static FleetCall ask(String key) {
		return new FleetCall.AskState(new FleetCall.Origin("host", PATH, key));
	}

	private Optional<JobPhase> job() {
		return this.stateMachine.read((state) -> state.job(JOB).map(JobState::phase));
	}

	private int runs() {
		return this.stateMachine.read((state) -> state.incarnationsInUse().size());
	}

	// Guards against UNASKED (review/12): the call that submits a job is read after the
	// cancellation was acknowledged, and the job runs.
	@Test
	public void jobThatArrivesAfterItsCancellationIsRefused() throws Exception {
		assertThat(reply(call(cancel("key-1")))).isEqualTo(new FleetReply.NoSuchJob());
		assertThat(reply(call(submit("key-1")))).isEqualTo(new FleetReply.JobCancelled());
		assertThat(reply(call(submit("key-1")))).isEqualTo(new FleetReply.JobCancelled());
		assertThat(reply(call(ask("key-1")))).isEqualTo(new FleetReply.NoSuchJob());
		assertThat(reply(call(cancel("key-1")))).isEqualTo(new FleetReply.NoSuchJob());
		assertThat(runs()).isZero();
		assertThat(this.logged).anyMatch((line) -> line.startsWith("FLEET_CANCELLATION_RECORDED"))
			.anyMatch((line) -> line.startsWith("FLEET_CANCELLED_JOB_REFUSED"));
	}

	// Guards against the same with calls that share a turn, in either order.
	@Test
	public void callsOfTheSameTurnStartNothing() throws Exception {
		CompletableFuture<Void> gate = holdLoop(submitOther());
		CompletableFuture<FleetReply> submitted = call(submit("key-1"));
		CompletableFuture<FleetReply> cancelled = call(cancel("key-1"));
		gate.complete(null);
		assertThat(reply(submitted)).isEqualTo(new FleetReply.Stored());
		assertThat(reply(cancelled)).isEqualTo(new FleetReply.Stored());
		assertThat(job()).hasValue(JobPhase.CANCELLED);
	}

	@Test
	public void cancellationBeforeTheJobInTheSameTurnStartsNothing() throws Exception {
		CompletableFuture<Void> gate = holdLoop(submitOther());
		CompletableFuture<FleetReply> cancelled = call(cancel("key-1"));
		CompletableFuture<FleetReply> submitted = call(submit("key-1"));
		gate.complete(null);
		assertThat(reply(cancelled)).isEqualTo(new FleetReply.NoSuchJob());
		assertThat(reply(submitted)).isEqualTo(new FleetReply.JobCancelled());
		assertThat(job()).isEmpty();
	}

	private static FleetCall submitOther() {
		return new FleetCall.SubmitJob(new FleetCall.Origin("host", "/q/00000000000000ff", "key-2"),
				((FleetCall.SubmitJob) submit("key-2")).plan());
	}

	// Guards against an account that blocks the ids of another one.
	@Test
	public void cancellationConcernsItsAccountOnly() throws Exception {
		assertThat(reply(call(cancel("key-1")))).isEqualTo(new FleetReply.NoSuchJob());
		assertThat(reply(call(submit("key-2")))).isEqualTo(new FleetReply.Stored());
		assertThat(reply(call(ask("key-2")))).isInstanceOf(FleetReply.Phase.class);
		assertThat(reply(call(submit("key-1")))).isEqualTo(new FleetReply.JobCancelled());
	}

	@DataProvider
	Object[][] failures() {
		return new Object[][] { { new ProposalOutcome.Unknown(), FleetReply.OutcomeUnknown.class },
				{ new ProposalOutcome.NotLeader(Optional.empty()), FleetReply.NotLeading.class } };
	}

	// Guards against an acknowledgement of a cancellation that no later leader knows.
	@Test(dataProvider = "failures")
	public void cancellationThatIsNotCommittedIsNotAcknowledged(ProposalOutcome outcome,
			Class<? extends FleetReply> answer) throws Exception {
		this.log.script = (command) -> CompletableFuture.completedFuture(outcome);
		assertThat(reply(call(cancel("key-1")))).isInstanceOf(answer);
	}

	// Guards against a cancellation that a replica forgets with a snapshot.
	@Test
	public void cancellationOutlivesASnapshot() throws Exception {
		reply(call(cancel("key-1")));
		ByteArrayOutputStream snapshot = new ByteArrayOutputStream();
		this.stateMachine.snapshot(snapshot);
		this.stateMachine.restore(new ByteArrayInputStream(snapshot.toByteArray()));
		assertThat(reply(call(submit("key-1")))).isEqualTo(new FleetReply.JobCancelled());
	}

	@Test
	public void cancellationIsForgottenAfterTheRetentionOfEndedJobs() throws Exception {
		reply(call(cancel("key-1")));
		advance(Duration.ofSeconds(3));
		advance(Duration.ofMinutes(4).minusSeconds(10));
		assertThat(recorded()).isEqualTo(1);
		advance(Duration.ofSeconds(15));
		assertThat(recorded()).isZero();
		assertThat(reply(call(submit("key-1")))).isEqualTo(new FleetReply.Stored());
	}

	private int recorded() {
		return this.stateMachine.read((state) -> state.cancellations().all().size());
	}

	// Advances the clock and lets the loop take two turns.
	private void advance(Duration time) throws Exception {
		this.clockOffsetNanos.addAndGet(time.toNanos());
		reply(call(ask("key-1")));
		reply(call(ask("key-1")));
	}

}
