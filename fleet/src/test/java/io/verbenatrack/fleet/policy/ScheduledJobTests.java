package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.HeartbeatResponse;
import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.state.FleetCommand;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the occurrences of scheduled jobs across changes of leader, and for jobs that
 * ended long ago.
 */
public class ScheduledJobTests extends SchedulerFixture {

	private static final StepSpec STEP = Fixtures.step(1, 1, false);

	private List<Integer> startedOccurrences(HeartbeatResponse response) {
		return response.starts().stream().map(HeartbeatResponse.Start::task).map(TaskId::occurrence).toList();
	}

	private HeartbeatResponse reportDone(List<Integer> occurrences) {
		List<ReportedEnd> ends = new ArrayList<>();
		for (int occurrence : occurrences) {
			ends.add(new ReportedEnd(occurrence + 1, new TaskId(Fixtures.job(1), occurrence, 0, 0), 1, RunOutcome.DONE,
					""));
		}
		return report(ONE, List.of(), ends.toArray(ReportedEnd[]::new));
	}

	// Guards against occurrences that are skipped, or run twice, when they come due while
	// the leader changes.
	@Test
	public void eachOccurrenceStartsOnceAcrossChangesOfLeader() {
		accept(1, "batch", new JobPlan("payload", List.of(STEP), 1000, 1000, 6));
		List<Integer> started = new ArrayList<>();
		List<Integer> running = List.of();
		for (int second = 0; second < 8; second++) {
			HeartbeatResponse response = reportDone(running);
			running = startedOccurrences(response);
			started.addAll(running);
			if (second % 2 == 0) {
				startNextTerm();
			}
			this.nowMillis += 1000;
		}
		assertThat(started).containsExactly(0, 1, 2, 3, 4, 5);
	}

	@Test
	public void occurrencesOfAScheduleThatBeganInThePastAreAllDue() {
		this.nowMillis = 10_000;
		accept(1, "batch", new JobPlan("payload", List.of(STEP), 1, 1000, 4));
		assertThat(startedOccurrences(report(ONE, List.of()))).containsExactlyInAnyOrder(0, 1, 2, 3);
	}

	// Guards against a pass that considers each of thousands of occurrences at once.
	@Test
	public void occurrencesThatAreDueTogetherStartAsRoomAllows() {
		accept(1, "batch", new JobPlan("payload", List.of(STEP), 1, 0, 20_000));
		this.nowMillis = 1000;
		assertThat(startedOccurrences(report(ONE, List.of()))).containsExactlyInAnyOrder(0, 1, 2, 3, 4, 5, 6, 7);
	}

	private Optional<FleetCommand> forgetJobs() {
		Optional<FleetCommand> command = this.scheduler.forgetJobs(time());
		command.ifPresent((forget) -> commit(List.of(forget)));
		return command;
	}

	// Guards against a state that grows with each job that ever ended.
	@Test
	public void endedJobsAreForgottenAfterTheirRetention() {
		accept(1, "batch", Fixtures.plan(STEP));
		accept(2, "batch", Fixtures.plan(STEP));
		commit(List.of(new FleetCommand.CancelJob(Fixtures.job(1))));
		assertThat(forgetJobs()).isEmpty();
		this.nowMillis += TIMINGS.endedJobRetention().minus(Duration.ofSeconds(1)).toMillis();
		assertThat(forgetJobs()).isEmpty();
		startNextTerm();
		assertThat(forgetJobs()).isEmpty();
		this.nowMillis += TIMINGS.endedJobRetention().toMillis();
		assertThat(forgetJobs()).contains(new FleetCommand.ForgetJobs(List.of(Fixtures.job(1))));
		assertThat(this.state.job(Fixtures.job(1))).isEmpty();
		assertThat(this.state.job(Fixtures.job(2))).isPresent();
	}

	@Test
	public void endedJobWithARunIsNotForgotten() {
		accept(1, "batch", Fixtures.plan(STEP));
		report(ONE, List.of());
		commit(List.of(new FleetCommand.CancelJob(Fixtures.job(1))));
		assertThat(forgetJobs()).isEmpty();
		this.nowMillis += TIMINGS.endedJobRetention().toMillis();
		assertThat(forgetJobs()).isEmpty();
		place();
		this.nowMillis += 5000;
		assertThat(forgetJobs()).isPresent();
	}

}
