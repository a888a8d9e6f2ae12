package io.verbenatrack.scheduling.rules;

import java.time.Duration;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobOutcome;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.Urgency;
import io.verbenatrack.scheduling.Scenario;
import io.verbenatrack.scheduling.SchedulingEvent;
import io.verbenatrack.scheduling.baseline.FirstFitScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Admission}.
 */
public class AdmissionTests {

	private Scenario scenario;

	@BeforeMethod
	public void createSchedulerWithFourWorkers() {
		this.scenario = new Scenario(new FirstFitScheduler());
		this.scenario.accounts(Scenario.account("a")).workers(4);
	}

	@Test
	public void admitsTheLargestGangOfARack() {
		this.scenario.submit("j", "a", 32);
		assertThat(this.scenario.placement("j")).isPresent();
	}

	@Test
	public void refusesAGangLargerThanAnyRackAndNamesTheLargest() {
		this.scenario.submit("j", "a", 33);
		assertRefused("The largest gang with these cores and memory has 32 accelerators");
	}

	@Test
	public void refusesMoreMemoryThanAnyWorkerHas() {
		this.scenario.event(new SchedulingEvent.JobSubmitted(new JobSpec(new JobId("j"), new AccountId("a"), "plan",
				new GangShape(1, 1, 257), Duration.ofHours(1), Urgency.NORMAL, true)));
		assertRefused("ask for less beside each");
	}

	@Test
	public void refusesAnUnknownAccount() {
		this.scenario.submit("j", "nobody", 1);
		assertRefused("Declare the account");
	}

	@Test
	public void admitsAGangThatFitsOnlyOnLostWorkersWithAReason() {
		this.scenario.loseWorker(0).submit("j", "a", 32);
		assertThat(this.scenario.phase("j")).isEqualTo("waiting");
		assertThat(this.scenario.view("j").reason()).contains("Only workers that are lost", "has 24");
	}

	private void assertRefused(String remedy) {
		assertThat(this.scenario.view("j").outcome())
			.hasValueSatisfying((outcome) -> assertThat(outcome).isInstanceOfSatisfying(JobOutcome.Refused.class,
					(refused) -> assertThat(refused.reason().toString()).contains(remedy)));
	}

}
