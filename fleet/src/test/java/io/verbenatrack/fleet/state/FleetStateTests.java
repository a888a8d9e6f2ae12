package io.verbenatrack.fleet.state;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.FleetConfiguration;
import io.verbenatrack.fleet.model.JobPhase;
import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.JobId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link FleetState}.
 */
public class FleetStateTests {

	private static final JobId JOB = Fixtures.job(1);

	private static final WorkerIncarnation INCARNATION = Fixtures.incarnation(1);

	private FleetState state;

	private long sequence;

	@BeforeMethod
	void adoptConfiguration() {
		this.state = new FleetState();
		this.sequence = 0;
		apply(new FleetCommand.AdoptConfiguration(Fixtures.configuration(5), new byte[] { 5 }));
	}

	private void apply(FleetCommand... commands) {
		assertThat(this.state.apply(new FleetBatch(1, ++this.sequence, List.of(commands)))).isTrue();
	}

	private void accept(JobPlan plan) {
		apply(new FleetCommand.AcceptJob(JOB, "batch", new AccountId("account"), plan, 1000));
	}

	private static TaskId task(int step, int index) {
		return new TaskId(JOB, 0, step, index);
	}

	private void start(TaskId task, int run) {
		apply(new FleetCommand.StartRun(task, run, INCARNATION), new FleetCommand.BeginJobs(List.of(task.job())));
	}

	private void end(TaskId task, int run, RunOutcome how) {
		apply(new FleetCommand.EndRun(task, run, INCARNATION, how, ""));
	}

	private JobPhase phase() {
		return this.state.job(JOB).orElseThrow().phase();
	}

	@Test
	public void batchDecidedOnAnotherStateIsRejected() {
		assertThat(this.state.apply(new FleetBatch(1, 1, List.of()))).isFalse();
		assertThat(this.state.apply(new FleetBatch(1, 3, List.of()))).isFalse();
		assertThat(this.state.apply(new FleetBatch(2, 2, List.of()))).isFalse();
		assertThat(this.state.apply(new FleetBatch(3, 1, List.of()))).isTrue();
		assertThat(this.state.apply(new FleetBatch(2, 1, List.of()))).isFalse();
	}

	@Test
	public void lowerVersionNeverReplacesAHigherOne() {
		apply(new FleetCommand.AdoptConfiguration(Fixtures.configuration(4), new byte[] { 4 }));
		assertThat(this.state.version()).isEqualTo(5);
		assertThat(this.state.document()).containsExactly(5);
	}

	@Test
	public void otherContentWithTheCurrentVersionIsNotAdopted() {
		apply(new FleetCommand.AdoptConfiguration(Fixtures.configuration(5), new byte[] { 6 }));
		assertThat(this.state.document()).containsExactly(5);
	}

	@Test
	public void jobAcceptedTwiceIsUnchanged() {
		accept(Fixtures.plan(Fixtures.step(1, 1, false)));
		start(task(0, 0), 1);
		accept(Fixtures.plan(Fixtures.step(9, 1, false)));
		assertThat(this.state.step(task(0, 0)).orElseThrow().tasks()).hasSize(1);
		assertThat(phase()).isEqualTo(JobPhase.RUNNING);
	}

	@Test
	public void jobIsCompletedOnlyOnceEveryTaskIsDone() {
		accept(Fixtures.plan(Fixtures.step(2, 1, false), Fixtures.step(1, 1, false, 0)));
		start(task(0, 0), 1);
		end(task(0, 0), 1, RunOutcome.DONE);
		assertThat(this.state.job(JOB).orElseThrow().dependenciesDone(0, 1)).isFalse();
		start(task(0, 1), 1);
		end(task(0, 1), 1, RunOutcome.DONE);
		assertThat(this.state.job(JOB).orElseThrow().dependenciesDone(0, 1)).isTrue();
		assertThat(phase()).isEqualTo(JobPhase.RUNNING);
		start(task(1, 0), 1);
		end(task(1, 0), 1, RunOutcome.DONE);
		assertThat(phase()).isEqualTo(JobPhase.COMPLETED);
		assertThat(this.state.incarnationsInUse()).isEmpty();
	}

	@Test
	public void endOfAnEarlierRunChangesNothing() {
		accept(Fixtures.plan(Fixtures.step(1, 1, false)));
		start(task(0, 0), 1);
		end(task(0, 0), 1, RunOutcome.LOST);
		start(task(0, 0), 2);
		end(task(0, 0), 1, RunOutcome.DONE);
		assertThat(phase()).isEqualTo(JobPhase.RUNNING);
		assertThat(this.state.runsOn(INCARNATION)).containsEntry(task(0, 0), 2);
	}

	@Test
	public void gangIsDoneOnceOneMemberEndsAsDone() {
		accept(Fixtures.plan(Fixtures.step(3, 1, true)));
		apply(new FleetCommand.StartRun(task(0, 0), 1, INCARNATION),
				new FleetCommand.StartRun(task(0, 1), 1, Fixtures.incarnation(2)),
				new FleetCommand.StartRun(task(0, 2), 1, Fixtures.incarnation(3)));
		end(task(0, 0), 1, RunOutcome.DONE);
		assertThat(phase()).isEqualTo(JobPhase.COMPLETED);
		assertThat(this.state.incarnationsInUse()).isEmpty();
	}

	@Test
	public void gangRunWithSeveralFailedMembersCountsAsOneFailure() {
		accept(Fixtures.plan(Fixtures.step(2, 1, true)));
		apply(new FleetCommand.StartRun(task(0, 0), 1, INCARNATION),
				new FleetCommand.StartRun(task(0, 1), 1, INCARNATION));
		end(task(0, 0), 1, RunOutcome.FAILED);
		end(task(0, 1), 1, RunOutcome.FAILED);
		assertThat(phase()).isEqualTo(JobPhase.RUNNING);
		apply(new FleetCommand.StartRun(task(0, 0), 2, INCARNATION),
				new FleetCommand.StartRun(task(0, 1), 2, INCARNATION));
		end(task(0, 1), 2, RunOutcome.FAILED);
		assertThat(phase()).isEqualTo(JobPhase.FAILED);
	}

	@Test
	public void onlyFailuresCountAsAttempts() {
		accept(Fixtures.plan(Fixtures.step(1, 1, false)));
		int run = 0;
		for (RunOutcome how : List.of(RunOutcome.STOPPED, RunOutcome.LAPSED, RunOutcome.LOST, RunOutcome.REFUSED,
				RunOutcome.FAILED)) {
			start(task(0, 0), ++run);
			end(task(0, 0), run, how);
			assertThat(phase()).isEqualTo(JobPhase.RUNNING);
		}
		start(task(0, 0), ++run);
		end(task(0, 0), run, RunOutcome.FAILED);
		assertThat(phase()).isEqualTo(JobPhase.FAILED);
	}

	@Test
	public void cancelledJobStaysCancelledAndKeepsItsRuns() {
		accept(Fixtures.plan(Fixtures.step(1, 1, false)));
		start(task(0, 0), 1);
		apply(new FleetCommand.CancelJob(JOB));
		assertThat(this.state.runsOn(INCARNATION)).containsKey(task(0, 0));
		end(task(0, 0), 1, RunOutcome.DONE);
		assertThat(phase()).isEqualTo(JobPhase.CANCELLED);
	}

	private static byte[] snapshot(FleetCodec codec, FleetState state) throws IOException {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		codec.snapshot(state, output);
		return output.toByteArray();
	}

	@Test
	public void snapshotRestoresEverything() throws IOException {
		FleetCodec codec = new FleetCodec();
		accept(Fixtures.plan(Fixtures.step(2, 1, true), Fixtures.step(1, 1, false, 0)));
		start(task(0, 0), 1);
		start(task(0, 1), 1);
		FleetState copy = new FleetState();
		byte[] snapshot = snapshot(codec, this.state);
		codec.restore(copy, new ByteArrayInputStream(snapshot));
		assertThat(snapshot(codec, copy)).isEqualTo(snapshot);
		assertThat(copy.runsOn(INCARNATION)).isEqualTo(this.state.runsOn(INCARNATION));
		assertThat(copy.unfinishedJobs()).hasSize(1);
		FleetBatch next = codec.batch(codec.encode(new FleetBatch(1, this.sequence + 1,
				List.of(new FleetCommand.EndRun(task(0, 0), 1, INCARNATION, RunOutcome.DONE, "")))));
		assertThat(copy.apply(next)).isTrue();
		assertThat(copy.step(task(0, 0)).orElseThrow().done()).isTrue();
	}

	@DataProvider
	Object[][] tasksOutOfRange() {
		return new Object[][] { { new TaskId(JOB, -1, 0, 0) }, { new TaskId(JOB, 1, 0, 0) },
				{ new TaskId(JOB, 0, -1, 0) }, { new TaskId(JOB, 0, 1, 0) }, { new TaskId(JOB, 0, 0, -1) },
				{ new TaskId(JOB, 0, 0, 2) },
				{ new TaskId(JOB, Integer.MIN_VALUE, Integer.MAX_VALUE, Integer.MIN_VALUE) },
				{ new TaskId(new JobId("unknown"), 0, 0, 0) } };
	}

	// Guards against entries that name a task which the job does not have: each replica
	// would fail on the command again after each restart.
	@Test(dataProvider = "tasksOutOfRange")
	public void taskOutOfRangeIsUnknown(TaskId task) {
		accept(Fixtures.plan(Fixtures.step(2, 1, false)));
		assertThat(this.state.step(task)).isEmpty();
		assertThat(this.state.isRunning(task, 1)).isFalse();
		assertThat(this.state.isCurrentRun(new FleetCommand.EndRun(task, 1, INCARNATION, RunOutcome.DONE, "")))
			.isFalse();
		apply(new FleetCommand.StartRun(task, 1, INCARNATION));
		end(task, 1, RunOutcome.DONE);
		assertThat(this.state.runsOn(INCARNATION)).isEmpty();
		assertThat(phase()).isEqualTo(JobPhase.PENDING);
	}

	// Guards against starts beyond the attempts once a removed queue is back.
	@Test
	public void attemptsUsedUpWhileTheQueueWasRemovedCountOnceItIsBack() {
		accept(Fixtures.plan(Fixtures.step(1, 1, false)));
		start(task(0, 0), 1);
		end(task(0, 0), 1, RunOutcome.FAILED);
		start(task(0, 0), 2);
		FleetConfiguration full = Fixtures.configuration(7);
		apply(new FleetCommand.AdoptConfiguration(
				new FleetConfiguration(6, List.of(), full.pools(), full.limits(), full.accounts()), new byte[0]));
		end(task(0, 0), 2, RunOutcome.FAILED);
		assertThat(phase()).isEqualTo(JobPhase.RUNNING);
		apply(new FleetCommand.AdoptConfiguration(full, new byte[0]));
		assertThat(phase()).isEqualTo(JobPhase.FAILED);
		assertThat(this.state.unfinishedJobs()).isEmpty();
	}

}
