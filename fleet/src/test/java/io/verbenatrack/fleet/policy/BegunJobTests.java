package io.verbenatrack.fleet.policy;

import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.JobPhase;
import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.state.FleetCommand;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for when a job counts as begun.
 */
public class BegunJobTests extends SchedulerFixture {

	private void acceptJob() {
		report(ONE, List.of());
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
	}

	private JobPhase phase() {
		return this.state.job(Fixtures.job(1)).orElseThrow().phase();
	}

	// Guards against MIXED: a job whose start was withdrawn from a silent worker was not
	// counted as waiting, though no worker had begun it.
	@Test
	public void jobWhoseStartIsWithdrawnIsPending() {
		acceptJob();
		place();
		assertThat(this.state.runsOn(ONE)).hasSize(1);
		assertThat(phase()).isEqualTo(JobPhase.PENDING);
		this.nowMillis += 3000;
		place();
		assertThat(this.state.runsOn(ONE)).isEmpty();
		assertThat(phase()).isEqualTo(JobPhase.PENDING);
	}

	// Guards against MIXED: the same for a start whose response the worker never got.
	@Test
	public void jobWhoseWorkerNeverListsItIsPending() {
		acceptJob();
		assertThat(report(ONE, List.of()).starts()).hasSize(1);
		assertThat(phase()).isEqualTo(JobPhase.PENDING);
		this.nowMillis += 7000;
		place();
		assertThat(phase()).isEqualTo(JobPhase.PENDING);
	}

	@Test
	public void jobThatAWorkerListsHasBegun() {
		acceptJob();
		report(ONE, List.of());
		report(ONE, List.of(running(1, 0, 1)));
		assertThat(phase()).isEqualTo(JobPhase.RUNNING);
		startNextTerm();
		this.nowMillis += 7000;
		place();
		assertThat(this.state.runsOn(ONE)).isEmpty();
		assertThat(phase()).isEqualTo(JobPhase.RUNNING);
	}

	@DataProvider
	Object[][] ends() {
		return new Object[][] { { RunOutcome.FAILED, JobPhase.RUNNING }, { RunOutcome.STOPPED, JobPhase.RUNNING },
				{ RunOutcome.LAPSED, JobPhase.RUNNING }, { RunOutcome.REFUSED, JobPhase.PENDING },
				{ RunOutcome.DONE, JobPhase.COMPLETED } };
	}

	// Guards against tasks that begin and end between two reports.
	@Test(dataProvider = "ends")
	public void jobWithAnEndHasBegunUnlessTheWorkerRefusedTheStart(RunOutcome how, JobPhase expected) {
		acceptJob();
		report(ONE, List.of());
		commit(this.scheduler
			.receiveReport(Fixtures.report(ONE, ++this.reports, false, List.of(),
					List.of(new ReportedEnd(1, task(1, 0), 1, how, ""))), time())
			.orElseThrow());
		assertThat(phase()).isEqualTo(expected);
	}

	@Test
	public void beginOfAJobIsRecordedOnce() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(2, 1, false)));
		report(ONE, List.of());
		List<FleetCommand> first = this.scheduler
			.receiveReport(
					Fixtures.report(ONE, ++this.reports, false, List.of(running(1, 0, 1), running(1, 1, 1)), List.of()),
					time())
			.orElseThrow();
		assertThat(first).containsExactly(new FleetCommand.BeginJobs(List.of(Fixtures.job(1))));
		assertThat(this.scheduler.receiveReport(
				Fixtures.report(ONE, ++this.reports, false, List.of(running(1, 0, 1), running(1, 1, 1)), List.of()),
				time()))
			.contains(List.of());
	}

}
