package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.testng.annotations.BeforeMethod;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.forecast.RunForecast;
import io.verbenatrack.fleet.model.HeartbeatResponse;
import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.fleet.state.FleetBatch;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.GrantedTime;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Two workers and a leader whose commands are committed at once.
 */
abstract class SchedulerFixture {

	static final FleetTimings TIMINGS = FleetTimings.withLease(Duration.ofSeconds(6));

	static final WorkerIncarnation ONE = Fixtures.incarnation(1);

	static final WorkerIncarnation TWO = Fixtures.incarnation(2);

	FleetState state;

	FleetScheduler scheduler;

	/** The forecast of the scheduler. If empty, it learns. */
	Optional<RunForecast> forecast = Optional.empty();

	long term;

	long sequence;

	long nowMillis;

	long reports;

	@BeforeMethod
	void startFirstTerm() {
		this.state = new FleetState();
		this.nowMillis = 0;
		this.term = 0;
		this.reports = 0;
		startNextTerm();
		commit(List.of(new FleetCommand.AdoptConfiguration(Fixtures.configuration(1), new byte[0])));
	}

	void startNextTerm() {
		this.term++;
		this.sequence = 0;
		RunLearning learning = this.forecast.map(RunLearning::new)
			.orElseGet(() -> new RunLearning(this.state, TIMINGS, time()));
		this.scheduler = new FleetScheduler(this.state, TIMINGS, learning, this.term, time());
	}

	GrantedTime time() {
		return new GrantedTime(Duration.ofMillis(this.nowMillis).toNanos());
	}

	void commit(List<FleetCommand> commands) {
		assertThat(this.state.apply(new FleetBatch(this.term, ++this.sequence, commands))).isTrue();
	}

	void accept(int job, String queue, JobPlan plan) {
		commit(List
			.of(new FleetCommand.AcceptJob(Fixtures.job(job), queue, new AccountId("account"), plan, this.nowMillis)));
	}

	static TaskId task(int job, int index) {
		return new TaskId(Fixtures.job(job), 0, 0, index);
	}

	static ReportedRun running(int job, int index, int run) {
		return new ReportedRun(task(job, index), run, "", 10);
	}

	HeartbeatResponse report(WorkerIncarnation incarnation, List<ReportedRun> running, ReportedEnd... ended) {
		return report(Fixtures.report(incarnation, ++this.reports, false, running, List.of(ended)));
	}

	HeartbeatResponse report(WorkerReport report) {
		commit(this.scheduler.receiveReport(report, time()).orElse(List.of()));
		place();
		return this.scheduler.respond(report);
	}

	HeartbeatResponse reportAtAddressOfOne(WorkerIncarnation incarnation, long number, List<ReportedRun> running) {
		WorkerReport own = Fixtures.report(ONE, number, false, running, List.of());
		return report(new WorkerReport(incarnation, own.address(), own.service(), own.zone(), own.rack(), own.labels(),
				own.room(), false, own.stayMillis(), number, own.running(), own.ended()));
	}

	void place() {
		commit(this.scheduler.detectLostRuns(time()));
		commit(this.scheduler.placeTasks(time(), this.nowMillis));
	}

}
