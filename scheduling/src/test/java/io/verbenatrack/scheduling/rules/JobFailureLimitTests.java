package io.verbenatrack.scheduling.rules;

import org.testng.annotations.Test;

import io.verbenatrack.scheduling.state.JobRecord;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link JobFailureLimit}.
 */
public class JobFailureLimitTests {

	private static final int REFUSE_AFTER = 3;

	@Test
	public void refusesAJobThatFailedOnSeveralProvenWorkers() {
		assertThat(failedOn(3, true)).isTrue();
	}

	@Test
	public void retriesBelowTheWorkerLimit() {
		assertThat(failedOn(2, true)).isFalse();
	}

	@Test
	public void doesNotRefuseAJobForFailuresOnUnprovenWorkers() {
		assertThat(failedOn(3, false)).isFalse();
	}

	@Test
	public void refusesAJobThatFailedRepeatedlyOnOneWorker() {
		assertThat(failedOnOneWorker(JobFailureLimit.MAXIMUM_FAILURES_FACTOR * REFUSE_AFTER)).isTrue();
	}

	@Test
	public void retriesOnOneWorkerBelowTheFailureLimit() {
		assertThat(failedOnOneWorker(JobFailureLimit.MAXIMUM_FAILURES_FACTOR * REFUSE_AFTER - 1)).isFalse();
	}

	private static boolean failedOnOneWorker(int failures) {
		RuleFixture fixture = new RuleFixture(12);
		JobRecord job = fixture.waiting("bad", 1);
		for (int failure = 0; failure < failures; failure++) {
			fixture.fail(job, 0);
		}
		return JobFailureLimit.decide(fixture.state.fleet(), job, REFUSE_AFTER).isPresent();
	}

	private static boolean failedOn(int workers, boolean proven) {
		RuleFixture fixture = new RuleFixture(12);
		JobRecord job = fixture.waiting("bad", 1);
		for (int worker = 0; worker < workers; worker++) {
			if (proven) {
				fixture.finish("good" + worker, worker, RuleFixture.START);
			}
			fixture.fail(job, worker);
		}
		return JobFailureLimit.decide(fixture.state.fleet(), job, REFUSE_AFTER).isPresent();
	}

}
