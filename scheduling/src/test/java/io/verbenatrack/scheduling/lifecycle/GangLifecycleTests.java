package io.verbenatrack.scheduling.lifecycle;

import java.time.Duration;
import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.model.FencingToken;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobOutcome;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.scheduling.MemberReport;
import io.verbenatrack.scheduling.Scenario;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.SchedulingEvent;
import io.verbenatrack.scheduling.baseline.FirstFitScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link GangLifecycle}.
 */
public class GangLifecycleTests {

	private Scenario scenario;

	@BeforeMethod
	public void createSchedulerWithTwoWorkers() {
		this.scenario = new Scenario(new FirstFitScheduler());
		this.scenario.accounts(Scenario.account("a")).workers(2);
	}

	@Test
	public void startsAGangOnceEveryMemberIsPrepared() {
		this.scenario.submit("j", "a", 16);
		FencingToken token = this.scenario.view("j").token().orElseThrow();
		this.scenario.event(prepared(token, "w0"));
		assertThat(this.scenario.phase("j")).isEqualTo("preparing");
		this.scenario.event(prepared(token, "w1"));
		assertThat(this.scenario.phase("j")).isEqualTo("running");
	}

	@Test
	public void endsAGangOnceEveryMemberFinished() {
		this.scenario.submit("j", "a", 16).start("j").report("j", MemberReport.FINISHED);
		assertThat(this.scenario.view("j").outcome()).containsInstanceOf(JobOutcome.Finished.class);
	}

	@Test
	public void stopsTheOtherMembersWhenAWorkerIsLost() {
		this.scenario.submit("j", "a", 16).start("j").loseWorker(1);
		assertThat(this.scenario.phase("j")).isEqualTo("stopping");
		this.scenario.report("j", MemberReport.STOPPED);
		assertThat(this.scenario.phase("j")).isEqualTo("waiting");
	}

	@Test
	public void ignoresRepeatedEvents() {
		this.scenario.submit("j", "a", 4).start("j").clearDecisions();
		this.scenario.submit("j", "a", 4).report("j", MemberReport.PREPARED).report("j", MemberReport.STARTED);
		assertThat(this.scenario.decisions()).isEmpty();
	}

	@Test
	public void ignoresAReportUnderAnEarlierLease() {
		this.scenario.submit("j", "a", 4).start("j");
		FencingToken old = this.scenario.view("j").token().orElseThrow();
		this.scenario.loseWorker(0).clearDecisions();
		assertThat(this.scenario.view("j").token()).hasValueSatisfying((next) -> assertThat(next).isGreaterThan(old));
		this.scenario
			.event(new SchedulingEvent.MemberReported(new JobId("j"), old, new WorkerId("w0"), MemberReport.FINISHED));
		assertThat(this.scenario.decisions()).isEmpty();
	}

	@Test
	public void endsACancelledGangOnlyAfterItsMembersStopped() {
		this.scenario.submit("j", "a", 4).start("j").cancel("j");
		assertThat(this.scenario.view("j").outcome()).isEmpty();
		this.scenario.report("j", MemberReport.STOPPED);
		assertThat(this.scenario.view("j").outcome()).containsInstanceOf(JobOutcome.Cancelled.class);
	}

	@Test
	public void repeatsTheStopToAnUnresponsiveWorker() {
		this.scenario.submit("j", "a", 4).start("j").cancel("j").advanceTime(Duration.ofSeconds(10));
		assertThat(this.scenario.decisions(SchedulingDecision.StopGang.class)).hasSize(2);
	}

	@Test
	public void followerHasTheSameStateAndIssuesHigherTokens() {
		this.scenario.submit("j", "a", 4).start("j");
		FirstFitScheduler follower = new FirstFitScheduler();
		follower.apply(this.scenario.decisions());
		follower.apply(List.of(new SchedulingDecision.RaiseTokenFloor(new FencingToken(100))));
		Scenario afterChange = new Scenario(follower);
		assertThat(afterChange.view("j")).isEqualTo(this.scenario.view("j"));
		afterChange.submit("k", "a", 4);
		assertThat(afterChange.view("k").token()).contains(new FencingToken(101));
	}

	private static SchedulingEvent prepared(FencingToken token, String worker) {
		return new SchedulingEvent.MemberReported(new JobId("j"), token, new WorkerId(worker), MemberReport.PREPARED);
	}

}
