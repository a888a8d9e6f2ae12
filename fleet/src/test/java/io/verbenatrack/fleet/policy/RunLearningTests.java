package io.verbenatrack.fleet.policy;

import java.util.List;
import java.util.Optional;

import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.state.FleetCommand;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link FleetScheduler}: what of the learned run times is recorded.
 */
public class RunLearningTests extends SchedulerFixture {

	private Optional<FleetCommand> recordedAfterRun() {
		accept(1, "batch", Fixtures.plan(Fixtures.step(1, 1, false)));
		report(ONE, List.of());
		for (int percent = 0; percent < 100; percent += 10) {
			this.nowMillis += 600;
			report(ONE, List.of(new ReportedRun(task(1, 0), 1, "", percent)));
		}
		report(ONE, List.of(), new ReportedEnd(1, task(1, 0), 1, RunOutcome.DONE, ""));
		return this.scheduler.recordRunTimes(time());
	}

	// Guards against values that are recorded twice, or lost when a commit fails.
	@Test
	public void summaryIsRepeatedUntilItIsCommitted() {
		FleetCommand first = recordedAfterRun().orElseThrow();
		assertThat(first).isInstanceOfSatisfying(FleetCommand.RecordRunTimes.class,
				(summary) -> assertThat(summary.classes()).hasSize(2)
					.allSatisfy((learned) -> assertThat(learned.time()).isBetween(84_000, 89_000)));
		assertThat(this.scheduler.recordRunTimes(time())).isEmpty();
		this.nowMillis += 5000;
		assertThat(this.scheduler.recordRunTimes(time())).contains(first);
		commit(List.of(first));
		this.nowMillis += 5000;
		assertThat(this.scheduler.recordRunTimes(time())).isEmpty();
	}

	// Guards against a leader that learns although it is told not to.
	@Test
	public void nothingIsRecordedWithoutLearning() {
		this.scheduler = new FleetScheduler(this.state, TIMINGS.withLearnedRunTimes(false), this.term, time());
		assertThat(recordedAfterRun()).isEmpty();
	}

}
