package io.verbenatrack.scheduling.rules;

import java.time.Instant;
import java.util.List;

import io.verbenatrack.model.FencingToken;
import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobOutcome;
import io.verbenatrack.model.Slot;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.scheduling.MemberReport;
import io.verbenatrack.scheduling.Scenario;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.state.JobRecord;
import io.verbenatrack.scheduling.state.SchedulingState;
import io.verbenatrack.scheduling.state.WorkerRecord;

/**
 * Fixture that puts workers and jobs of account {@code a} into the states that the rules
 * are tested on.
 */
final class RuleFixture {

	static final Instant START = Instant.parse("2026-12-04T00:00:00Z");

	final SchedulingState state = new SchedulingState();

	RuleFixture(int workers) {
		for (int number = 0; number < workers; number++) {
			this.state.apply(new SchedulingDecision.AdmitWorker(Scenario.worker(number)));
		}
	}

	JobRecord waiting(String id, int accelerators) {
		this.state.apply(new SchedulingDecision.AcceptJob(Scenario.job(id, "a", accelerators), START));
		return this.state.jobs().job(new JobId(id)).orElseThrow();
	}

	JobRecord running(String id, int accelerators, int worker) {
		JobRecord job = waiting(id, accelerators);
		run(job, worker);
		return job;
	}

	void run(JobRecord job, int worker) {
		FencingToken token = this.state.nextToken();
		Slot slot = new Slot(new WorkerId("w" + worker), 0, job.spec().shape().accelerators());
		this.state.apply(new SchedulingDecision.PlaceGang(job.id(), token, new GangPlacement(List.of(slot)), START));
		report(job, worker, MemberReport.PREPARED);
		this.state.apply(new SchedulingDecision.StartGang(job.id(), token, START));
		report(job, worker, MemberReport.STARTED);
	}

	void fail(JobRecord job, int worker) {
		run(job, worker);
		report(job, worker, MemberReport.FAILED);
		this.state.apply(new SchedulingDecision.RequeueJob(job.id(), job.checkpointed(), START));
	}

	void finish(String id, int worker, Instant at) {
		JobRecord job = running(id, 1, worker);
		report(job, worker, MemberReport.FINISHED);
		this.state.apply(new SchedulingDecision.EndJob(job.id(), new JobOutcome.Finished(at)));
	}

	private void report(JobRecord job, int worker, MemberReport report) {
		FencingToken token = job.lease().orElseThrow().token();
		this.state.apply(new SchedulingDecision.RecordMember(job.id(), token, new WorkerId("w" + worker), report));
	}

	WorkerRecord worker(int number) {
		return this.state.fleet().worker(new WorkerId("w" + number)).orElseThrow();
	}

}
