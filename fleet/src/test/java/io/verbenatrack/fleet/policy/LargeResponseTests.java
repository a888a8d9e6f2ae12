package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.HeartbeatResponse;
import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.state.FleetCommand;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for more starts than the response to one heartbeat can carry.
 */
public class LargeResponseTests extends SchedulerFixture {

	private static final int JOBS = 13;

	private static final int TASKS = 90;

	private static final int LARGEST_JOB = 20_000;

	private static final String PAYLOAD = "x".repeat(4000);

	private void acceptJobs(int jobs, int tasks) {
		StepSpec step = new StepSpec(tasks, new Resources(0, 0, 0), 60_000, List.of(), false, false, Optional.empty(),
				Optional.empty(), 0, false, false, false);
		for (int job = 1; job <= jobs; job++) {
			accept(job, "batch", new JobPlan(PAYLOAD, List.of(step), 0, 0, 1));
		}
	}

	private static long bytes(HeartbeatResponse response) {
		return response.starts().stream().mapToLong(HeartbeatResponse.Start::maxEncodedBytes).sum();
	}

	private Set<TaskId> startRound(List<ReportedRun> running) {
		HeartbeatResponse response = report(ONE, running);
		assertThat(response.leaseMillis()).isPositive();
		assertThat(bytes(response)).isLessThanOrEqualTo(StartBudget.MAX_BYTES);
		Set<TaskId> started = new HashSet<>();
		response.starts().forEach((start) -> {
			started.add(start.task());
			running.add(new ReportedRun(start.task(), start.run(), "", 0));
		});
		return started;
	}

	// Guards against LOST: a worker dropped a response that was too large, and got the
	// same
	// one again for good.
	@Test
	public void startsThatDoNotFitGoWithTheNextResponses() {
		acceptJobs(JOBS, TASKS);
		List<ReportedRun> running = new ArrayList<>();
		for (int round = 0; running.size() < JOBS * TASKS; round++) {
			assertThat(startRound(running)).as("round %d", round).isNotEmpty();
		}
		assertThat(startRound(running)).isEmpty();
	}

	@Test
	public void largestJobMakesProgressInEachRound() {
		acceptJobs(1, LARGEST_JOB);
		List<ReportedRun> running = new ArrayList<>();
		while (!startRound(running).isEmpty()) {
			this.nowMillis += 200;
		}
		assertThat(running).hasSameSizeAs(this.state.runsOn(ONE).keySet());
	}

	// Guards against runs that are taken for sent although no response has carried them.
	@Test
	public void startThatIsHeldBackIsWithdrawnFromASilentWorker() {
		acceptJobs(JOBS, TASKS);
		List<ReportedRun> running = new ArrayList<>();
		Set<TaskId> sent = startRound(running);
		int decided = this.state.runsOn(ONE).size();
		assertThat(sent.size()).isPositive().isLessThan(decided);
		this.nowMillis += 3000;
		commit(this.scheduler.detectLostRuns(time()));
		assertThat(this.state.runsOn(ONE).keySet()).isEqualTo(sent);
	}

	@Test
	public void stopsAreSentBesideStartsThatAreHeldBack() {
		acceptJobs(JOBS, TASKS);
		List<ReportedRun> running = new ArrayList<>();
		startRound(running);
		commit(List.of(new FleetCommand.CancelJob(Fixtures.job(1))));
		HeartbeatResponse response = report(ONE, running);
		assertThat(response.stops()).hasSize(TASKS);
		assertThat(response.starts()).isNotEmpty();
	}

}
