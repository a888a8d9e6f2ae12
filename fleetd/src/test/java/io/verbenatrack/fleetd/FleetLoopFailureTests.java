package io.verbenatrack.fleetd;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.control.ReplicaLimits;
import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.fleet.model.CallLimits;
import io.verbenatrack.fleet.model.FleetConfiguration;
import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.Queue;
import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerPool;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.ZoneId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link FleetLoop}: a call that fails harms no other call, and each call is
 * answered.
 */
public class FleetLoopFailureTests extends ScriptedLoopFixture {

	private static final ServiceId SERVICE = new ServiceId("service");

	/** A call that cannot be decided: it has no origin. */
	private static final FleetCall FAILING = new FleetCall.AskState(null);

	@BeforeMethod
	void configure() throws Exception {
		assertThat(reply(call(configuration(1)))).isEqualTo(new FleetReply.Stored());
	}

	private static FleetCall configuration(long version) {
		Queue queue = new Queue("q", "host", "/q/", SERVICE, 0, 1, 1, 1000, 3000, true);
		return new FleetCall.ChangeConfiguration(new FleetConfiguration(version, List.of(queue),
				List.of(new WorkerPool(SERVICE, true)), new CallLimits(1, 1, 1, 1), List.of()), new byte[0]);
	}

	private static FleetCall submit(String job) {
		StepSpec step = new StepSpec(1, new Resources(1, 1, 1), 1000, List.of(), false, false, Optional.empty(),
				Optional.empty(), 0, false, false, false);
		return new FleetCall.SubmitJob(new FleetCall.Origin("host", "/q/" + job, ""),
				new JobPlan("payload", List.of(step), 0, 0, 1));
	}

	private static FleetCall submitWide(String job, int tasks) {
		StepSpec step = new StepSpec(tasks, new Resources(0, 0, 0), 1000, List.of(), false, false, Optional.empty(),
				Optional.empty(), 0, false, false, false);
		return new FleetCall.SubmitJob(new FleetCall.Origin("host", "/q/" + job, ""),
				new JobPlan("payload", List.of(step), 0, 0, 1));
	}

	private static FleetCall heartbeat(String worker, long sequence) {
		return new FleetCall.Heartbeat(new WorkerReport(new WorkerIncarnation(new WorkerId(worker), 1), worker + ":1",
				SERVICE, new ZoneId("z"), "r", Set.of("r"), new Resources(10, 10, 8), false, 0, sequence, List.of(),
				List.of()));
	}

	// Guards against LOST: the starts of one pass exceeded the size of a command, the
	// term
	// ended, and the next one placed the same tasks again.
	@Test
	public void startsThatExceedACommandOfTheLogAreCommittedInParts() throws Exception {
		this.log.script = (command) -> (command.length > ReplicaLimits.DEFAULT.commandBytes())
				? CompletableFuture.completedFuture(new ProposalOutcome.Refused(
						new Problem(ProblemKind.TOO_LARGE, "The command is too large.", "Send a smaller one.")))
				: this.log.commit(command);
		String longName = "w".repeat(80);
		List<String> workers = List.of(longName + 1, longName + 2, longName + 3);
		for (String worker : workers) {
			assertThat(reply(call(heartbeat(worker, 1)))).isInstanceOf(FleetReply.Orders.class);
		}
		int tasks = 19_000;
		assertThat(reply(call(submitWide("00000000000000bb", tasks)))).isEqualTo(new FleetReply.Stored());
		int started = 0;
		for (String worker : workers) {
			assertThat(reply(call(heartbeat(worker, 2)))).isInstanceOf(FleetReply.Orders.class);
			started += this.stateMachine
				.read((state) -> state.runsOn(new WorkerIncarnation(new WorkerId(worker), 1)).size());
		}
		assertThat(started).isEqualTo(tasks);
		assertThat(this.terms).hasValue(1);
	}

	// Guards against one call that throws and makes all calls of its turn fail.
	@Test
	public void callThatThrowsFailsAlone() throws Exception {
		CompletableFuture<Void> gate = holdLoop(submit("00000000000000aa"));
		CompletableFuture<FleetReply> failing = call(FAILING);
		CompletableFuture<FleetReply> other = call(submit("00000000000000bb"));
		gate.complete(null);
		assertThat(reply(other)).isEqualTo(new FleetReply.Stored());
		assertThat(reply(failing)).isInstanceOf(FleetReply.Refused.class);
		assertThat(this.terms).hasValue(1);
	}

	// Guards against one call too large for the log that makes all calls of its turn
	// fail.
	@Test
	public void callTooLargeToStoreFailsAlone() throws Exception {
		CompletableFuture<Void> gate = holdLoop(submit("00000000000000aa"));
		this.log.script = (command) -> {
			boolean tooLarge = this.codec.batch(command)
				.commands()
				.stream()
				.anyMatch(FleetCommand.AdoptConfiguration.class::isInstance);
			return tooLarge
					? CompletableFuture.completedFuture(new ProposalOutcome.Refused(new Problem(ProblemKind.TOO_LARGE,
							"The command is too large for the log.", "Send a smaller one.")))
					: this.log.commit(command);
		};
		CompletableFuture<FleetReply> large = call(configuration(2));
		CompletableFuture<FleetReply> other = call(submit("00000000000000bb"));
		gate.complete(null);
		assertThat(reply(other)).isEqualTo(new FleetReply.Stored());
		assertThat(reply(large)).isInstanceOf(FleetReply.Invalid.class);
		assertThat(this.terms).hasValue(1);
	}

	// Guards against calls that wait for ever for a proposal that is never completed.
	@Test
	public void callsAreAnsweredWhenLeadershipEndsDuringCommit() throws Exception {
		CompletableFuture<Void> proposed = new CompletableFuture<>();
		this.log.script = (command) -> {
			proposed.complete(null);
			return new CompletableFuture<>();
		};
		CompletableFuture<FleetReply> committing = call(submit("00000000000000aa"));
		proposed.get(5, TimeUnit.SECONDS);
		CompletableFuture<FleetReply> queued = call(new FleetCall.Probe());
		this.log.leading = false;
		assertThat(reply(committing)).isEqualTo(new FleetReply.OutcomeUnknown());
		assertThat(reply(queued)).isInstanceOf(FleetReply.NotLeading.class);
	}

	// Guards against calls that wait for ever once an Error has ended the thread.
	@Test
	public void callsAreAnsweredAfterError() throws Exception {
		this.log.script = (command) -> {
			throw new StackOverflowError("test");
		};
		assertThat(reply(call(submit("00000000000000aa")))).isEqualTo(new FleetReply.OutcomeUnknown());
		assertThat(reply(call(new FleetCall.Probe()))).isNotNull();
	}

}
