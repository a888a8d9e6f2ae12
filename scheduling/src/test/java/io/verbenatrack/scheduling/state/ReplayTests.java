package io.verbenatrack.scheduling.state;

import java.time.Duration;
import java.util.Random;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.verbenatrack.scheduling.MemberReport;
import io.verbenatrack.scheduling.Scenario;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.SchedulingView;
import io.verbenatrack.scheduling.baseline.FirstFitScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that {@link SchedulingState#replay()} recreates the complete state.
 */
public class ReplayTests {

	private static final int STEPS = 200;

	private static final int REMEMBERED_JOBS = 20;

	@DataProvider
	public Object[][] seeds() {
		return new Object[][] { { 1L }, { 2L }, { 3L }, { 4L } };
	}

	@Test(dataProvider = "seeds")
	public void restoredSchedulerBehavesLikeTheOriginal(long seed) {
		FirstFitScheduler original = new FirstFitScheduler(REMEMBERED_JOBS);
		Scenario scenario = new Scenario(original).accounts(Scenario.account("a")).workers(10);
		Random random = new Random(seed);
		for (int step = 0; step < STEPS; step++) {
			advance(scenario, original, random, step);
		}
		FirstFitScheduler copy = new FirstFitScheduler(REMEMBERED_JOBS);
		copy.apply(original.replay());
		assertThat(copy.replay()).as("seed %d", seed).isEqualTo(original.replay());
		assertThat(copy.view()).isEqualTo(original.view());
		Scenario again = new Scenario(copy);
		scenario.clearDecisions().loseWorker(3).workers(10).submit("last", "a", 16);
		again.loseWorker(3).workers(10).submit("last", "a", 16);
		assertThat(again.view("last").placement()).isEqualTo(scenario.view("last").placement());
		assertThat(again.view("last").token()).isEqualTo(scenario.view("last").token());
	}

	@Test
	public void forgetsTheOldestOutcomesBeyondTheLimit() {
		FirstFitScheduler scheduler = new FirstFitScheduler(REMEMBERED_JOBS);
		Scenario scenario = new Scenario(scheduler).accounts(Scenario.account("a"));
		for (int job = 0; job < 500; job++) {
			scenario.submit("j" + job, "a", 1).cancel("j" + job);
		}
		assertThat(scenario.decisions(SchedulingDecision.ForgetJobs.class)).isNotEmpty();
		assertThat(scheduler.view().jobs()).hasSizeLessThan(300);
	}

	private static void advance(Scenario scenario, FirstFitScheduler scheduler, Random random, int step) {
		switch (random.nextInt(6)) {
			case 0 -> scenario.submit("j" + step, "a", 1 << random.nextInt(7));
			case 1 -> scenario.loseWorker(random.nextInt(10));
			case 2 -> scenario.workers(10);
			case 3 -> scenario.advanceTime(Duration.ofSeconds(random.nextInt(5)));
			case 4 -> scenario.cancel("j" + random.nextInt(step + 1));
			default -> scheduler.view()
				.jobs()
				.stream()
				.filter((job) -> job.placement().isPresent())
				.forEach((job) -> scenario.report(job.job().id().value(), answer(job, random)));
		}
	}

	private static MemberReport answer(SchedulingView.JobView job, Random random) {
		return switch (job.phase()) {
			case "preparing" -> MemberReport.PREPARED;
			case "stopping" -> MemberReport.STOPPED;
			default -> (random.nextInt(3) == 0) ? MemberReport.FAILED : MemberReport.FINISHED;
		};
	}

}
