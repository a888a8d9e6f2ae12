package io.verbenatrack.scheduling.policy;

import java.time.Duration;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.model.Guarantee;
import io.verbenatrack.scheduling.MemberReport;
import io.verbenatrack.scheduling.Scenario;
import io.verbenatrack.scheduling.SchedulingDecision;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link GuaranteeScheduler}.
 */
public class GuaranteeSchedulerTests {

	private static final Duration TICK = Duration.ofMillis(100);

	private Scenario scenario;

	@BeforeMethod
	public void createSchedulerWithTwoAccounts() {
		this.scenario = new Scenario(new GuaranteeScheduler());
		this.scenario
			.accounts(Scenario.account("owner", new Guarantee(Scenario.shape(16), 1)), Scenario.account("other"))
			.workers(2);
	}

	@Test
	public void lendsIdleGuaranteedAccelerators() {
		this.scenario.submit("j", "other", 16);
		assertThat(this.scenario.view("j").borrowed()).isTrue();
	}

	@Test
	public void reclaimsBorrowedAcceleratorsByCheckpoint() {
		this.scenario.submit("j", "other", 8).start("j").submit("mine", "owner", 16);
		assertThat(this.scenario.phase("j")).isEqualTo("checkpointing");
		this.scenario.report("j", MemberReport.CHECKPOINTED).report("j", MemberReport.STOPPED);
		assertThat(this.scenario.view("mine").placement()).isPresent();
		assertThat(this.scenario.view("mine").borrowed()).isFalse();
	}

	@Test
	public void neverReclaimsWorkWithinAGuarantee() {
		this.scenario.submit("mine", "owner", 16).start("mine").submitUrgent("j", "other", 8);
		this.scenario.advanceTime(TICK);
		assertThat(this.scenario.phase("mine")).isEqualTo("running");
		assertThat(this.scenario.phase("j")).isEqualTo("waiting");
	}

	@Test
	public void stopsABorrowerThatDoesNotCheckpointWithinTheGracePeriod() {
		this.scenario.submit("j", "other", 16).start("j").submit("mine", "owner", 16);
		this.scenario.advanceTime(Duration.ofSeconds(1));
		assertThat(this.scenario.phase("j")).isEqualTo("stopping");
	}

	@Test
	public void choosesOtherAcceleratorsWhenAWorkerDoesNotAnswer() {
		this.scenario.workers(4).submit("j", "other", 16).submit("k", "other", 16).start("j").start("k");
		this.scenario.submitUrgent("mine", "owner", 16);
		String chosen = "checkpointing".equals(this.scenario.phase("j")) ? "j" : "k";
		String alternative = "j".equals(chosen) ? "k" : "j";
		for (int tick = 0; tick < 14; tick++) {
			this.scenario.advanceTime(TICK);
		}
		assertThat(this.scenario.phase(alternative)).isEqualTo("stopping");
		this.scenario.report(alternative, MemberReport.STOPPED);
		assertThat(this.scenario.view("mine").placement()).isPresent();
	}

	@Test
	public void smallJobsOfTheOwnerShareOneGuaranteedGang() {
		for (int job = 0; job < 4; job++) {
			this.scenario.submit("j" + job, "owner", 4);
			assertThat(this.scenario.view("j" + job).borrowed()).isFalse();
		}
	}

	@Test
	public void reportsAndRepairsAShortGuarantee() {
		this.scenario.loseWorker(0);
		assertThat(this.scenario.decisions(SchedulingDecision.ReportShortGuarantee.class)).last()
			.satisfies((report) -> assertThat(report.missing()).hasSize(1));
		this.scenario.workers(2);
		assertThat(this.scenario.decisions(SchedulingDecision.ReportShortGuarantee.class)).last()
			.satisfies((report) -> assertThat(report.missing()).isEmpty());
	}

}
