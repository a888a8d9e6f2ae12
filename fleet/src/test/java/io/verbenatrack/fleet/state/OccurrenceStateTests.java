package io.verbenatrack.fleet.state;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.JobPhase;
import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.JobId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the occurrences of scheduled jobs: only those that have begun and are not
 * done have a state of their own.
 */
public class OccurrenceStateTests {

	private static final AccountId ACCOUNT = new AccountId("account");

	private static final WorkerIncarnation WORKER = Fixtures.incarnation(1);

	private static final int LONG_SCHEDULE = 20_000;

	private final FleetCodec codec = new FleetCodec();

	private FleetState state;

	private long sequence;

	@BeforeMethod
	void createState() {
		this.state = new FleetState();
		this.sequence = 0;
		apply(new FleetCommand.AdoptConfiguration(Fixtures.configuration(1), new byte[0]));
	}

	private void apply(FleetCommand... commands) {
		assertThat(this.state.apply(new FleetBatch(1, ++this.sequence, List.of(commands)))).isTrue();
	}

	private JobId accept(int number, int times) {
		JobId job = Fixtures.job(number);
		apply(new FleetCommand.AcceptJob(job, "batch", ACCOUNT,
				new JobPlan("payload", List.of(Fixtures.step(1, 1, false)), 1000, 60_000, times), 1000));
		return job;
	}

	private void start(JobId job, int occurrence, int run) {
		apply(new FleetCommand.StartRun(new TaskId(job, occurrence, 0, 0), run, WORKER));
	}

	private void end(JobId job, int occurrence, int run, RunOutcome how) {
		apply(new FleetCommand.EndRun(new TaskId(job, occurrence, 0, 0), run, WORKER, how, ""));
	}

	private byte[] snapshot() throws IOException {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		this.codec.snapshot(this.state, output);
		return output.toByteArray();
	}

	private void restart() throws IOException {
		byte[] snapshot = snapshot();
		FleetState restored = new FleetState();
		this.codec.restore(restored, new ByteArrayInputStream(snapshot));
		this.state = restored;
		assertThat(snapshot()).isEqualTo(snapshot);
	}

	private int begunTasks(JobId job) {
		List<TaskId> tasks = new ArrayList<>();
		this.state.job(job).orElseThrow().forEachBegunTask((task, present) -> tasks.add(task));
		return tasks.size();
	}

	// Guards against LOST: accepted jobs with long schedules used up the memory of all
	// replicas, as each occurrence had its tasks from the start.
	@Test
	public void longSchedulesTakeNoMoreThanJobsThatRunOnce() throws IOException {
		int jobs = 500;
		for (int job = 0; job < jobs; job++) {
			accept(job, 1);
		}
		int once = snapshot().length;
		createState();
		for (int job = 0; job < jobs; job++) {
			assertThat(begunTasks(accept(job, LONG_SCHEDULE))).isZero();
		}
		assertThat(snapshot().length).isLessThan(once + jobs * 10);
		restart();
		assertThat(begunTasks(Fixtures.job(0))).isZero();
	}

	@Test
	public void occurrencesThatAreDoneLeaveOnlyTheirNumber() throws IOException {
		JobId job = accept(1, LONG_SCHEDULE);
		int accepted = snapshot().length;
		for (int occurrence = 0; occurrence < LONG_SCHEDULE - 1; occurrence++) {
			start(job, occurrence, 1);
			assertThat(begunTasks(job)).isEqualTo(1);
			end(job, occurrence, 1, RunOutcome.DONE);
		}
		assertThat(begunTasks(job)).isZero();
		assertThat(this.state.incarnationsInUse()).isEmpty();
		assertThat(snapshot().length).isLessThan(accepted + 100);
		restart();
		JobState restored = this.state.job(job).orElseThrow();
		assertThat(restored.phase()).isEqualTo(JobPhase.RUNNING);
		assertThat(restored.nextOpenOccurrence(0)).isEqualTo(LONG_SCHEDULE - 1);
		start(job, LONG_SCHEDULE - 1, 1);
		end(job, LONG_SCHEDULE - 1, 1, RunOutcome.DONE);
		assertThat(this.state.job(job).orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
	}

	@Test
	public void occurrencesKeepTheirStateWhileOthersAreDone() throws IOException {
		JobId job = accept(1, 5);
		start(job, 3, 1);
		start(job, 1, 1);
		end(job, 3, 1, RunOutcome.DONE);
		end(job, 1, 1, RunOutcome.FAILED);
		start(job, 1, 2);
		restart();
		JobState restored = this.state.job(job).orElseThrow();
		assertThat(restored.step(1, 0).tasks().getFirst().run()).isEqualTo(2);
		assertThat(restored.step(1, 0).tasks().getFirst().failures()).isEqualTo(1);
		assertThat(restored.step(3, 0).done()).isTrue();
		assertThat(restored.nextOpenOccurrence(3)).isEqualTo(4);
		assertThat(this.state.runsOn(WORKER)).containsExactly(Map.entry(new TaskId(job, 1, 0, 0), 2));
		assertThat(restored.step(0, 0).tasks().getFirst().waiting()).isTrue();
		assertThat(restored.step(2, 0).tasks().getFirst().run()).isZero();
	}

	@Test
	public void lateEndOfAnOccurrenceThatIsDoneChangesNothing() {
		JobId job = accept(1, 2);
		start(job, 0, 1);
		end(job, 0, 1, RunOutcome.DONE);
		end(job, 0, 1, RunOutcome.FAILED);
		end(job, 1, 1, RunOutcome.DONE);
		JobState present = this.state.job(job).orElseThrow();
		assertThat(present.step(0, 0).done()).isTrue();
		assertThat(present.step(1, 0).done()).isFalse();
		assertThat(present.phase()).isEqualTo(JobPhase.RUNNING);
	}

	@Test
	public void memoryOfJobsIsReleasedWhenTheyEndAndAreForgotten() throws IOException {
		JobId first = accept(1, 1);
		accept(2, LONG_SCHEDULE);
		long both = this.state.bytesByAccount().get(ACCOUNT);
		start(first, 0, 1);
		end(first, 0, 1, RunOutcome.DONE);
		apply(new FleetCommand.CancelJob(Fixtures.job(2)));
		long ended = this.state.bytesByAccount().get(ACCOUNT);
		assertThat(ended).isPositive().isLessThan(both);
		restart();
		assertThat(this.state.bytesByAccount()).containsEntry(ACCOUNT, ended);
		apply(new FleetCommand.ForgetJobs(List.of(first, Fixtures.job(2))));
		assertThat(this.state.jobs()).isEmpty();
		assertThat(this.state.bytesByAccount()).isEmpty();
	}

	// Guards against memory of cancelled and failed jobs that is kept until they are
	// forgotten.
	@Test
	public void tasksOfACancelledJobLeaveWithItsLastRun() throws IOException {
		JobId job = Fixtures.job(1);
		apply(new FleetCommand.AcceptJob(job, "batch", ACCOUNT, Fixtures.plan(Fixtures.step(1000, 1, false)), 1000));
		start(job, 0, 1);
		assertThat(begunTasks(job)).isEqualTo(1000);
		apply(new FleetCommand.CancelJob(job));
		assertThat(this.state.runsOn(WORKER)).hasSize(1);
		assertThat(begunTasks(job)).isEqualTo(1000);
		end(job, 0, 1, RunOutcome.STOPPED);
		assertThat(this.state.runsOn(WORKER)).isEmpty();
		assertThat(begunTasks(job)).isZero();
		restart();
		assertThat(this.state.job(job).orElseThrow().phase()).isEqualTo(JobPhase.CANCELLED);
	}

	@Test
	public void jobThatHasNotEndedIsNotForgotten() {
		JobId job = accept(1, 1);
		apply(new FleetCommand.ForgetJobs(List.of(job)));
		assertThat(this.state.job(job)).isPresent();
	}

}
