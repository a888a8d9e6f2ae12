package io.verbenatrack.fleet.policy;

import java.util.List;

import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.HeartbeatResponse;
import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link FleetScheduler} with reports that arrive after their sender has
 * crashed, when the clock of its machine has been set back before the next worker began.
 */
public class LateReportTests extends SchedulerFixture {

	/** An earlier process in the place of the first worker, whose clock was ahead. */
	private static final WorkerIncarnation CRASHED = new WorkerIncarnation(ONE.worker(), 5000);

	private static final long LEASE_ENDED_MILLIS = 7000;

	private HeartbeatResponse reportOfCrashed(WorkerIncarnation crashed, long number, List<ReportedRun> runs,
			ReportedEnd... ends) {
		WorkerReport own = Fixtures.report(ONE, number, false, runs, List.of(ends));
		return report(new WorkerReport(crashed, own.address(), own.service(), own.zone(), own.rack(), own.labels(),
				own.room(), false, own.stayMillis(), number, own.running(), own.ended()));
	}

	private void startRunOfJob(int job) {
		report(ONE, List.of());
		accept(job, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		place();
		assertThat(report(ONE, List.of()).starts()).hasSize(1);
	}

	private void startRunsOfBoth() {
		reportOfCrashed(CRASHED, 1, List.of());
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		assertThat(reportOfCrashed(CRASHED, 2, List.of()).starts()).hasSize(1);
		startNextTerm();
		startRunOfJob(2);
	}

	// Guards against LOST: a task waited for good for a process that had crashed, since
	// the one that followed under the id stated an earlier start.
	@Test
	public void runOfACrashedIncarnationIsLostThoughItsSuccessorStatesAnEarlierStart() {
		startRunsOfBoth();
		List<ReportedRun> runs = List.of(running(2, 0, 1));
		report(ONE, runs);
		this.nowMillis += LEASE_ENDED_MILLIS - 1000;
		report(ONE, runs);
		assertThat(this.state.runsOn(CRASHED)).hasSize(1);
		this.nowMillis += 1000;
		report(ONE, runs);
		assertThat(this.state.runsOn(CRASHED)).isEmpty();
		assertThat(this.state.runsOn(ONE)).hasSize(1);
		assertThat(report(TWO, List.of()).starts()).extracting(HeartbeatResponse.Start::task)
			.containsExactly(task(1, 0));
	}

}
