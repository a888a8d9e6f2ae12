package io.verbenatrack.scheduling.rules;

import java.time.Duration;

import org.testng.annotations.Test;

import io.verbenatrack.model.FleetDefaults;
import io.verbenatrack.scheduling.SchedulingDecision;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link WorkerQuarantine}.
 */
public class WorkerQuarantineTests {

	private static final FleetDefaults DEFAULTS = FleetDefaults.STANDARD;

	@Test
	public void quarantinesAfterFailuresInARow() {
		RuleFixture fixture = failed(10, 3);
		assertThat(WorkerQuarantine.shouldQuarantine(fixture.worker(0), fixture.state.fleet().workers(), DEFAULTS))
			.isTrue();
	}

	@Test
	public void doesNotQuarantineAWorkerThatFinishedAMemberInBetween() {
		RuleFixture fixture = failed(10, 2);
		fixture.finish("good", 0, RuleFixture.START);
		fixture.fail(fixture.waiting("last", 1), 0);
		assertThat(WorkerQuarantine.shouldQuarantine(fixture.worker(0), fixture.state.fleet().workers(), DEFAULTS))
			.isFalse();
	}

	@Test
	public void doesNotQuarantineMoreThanTheMaximumShare() {
		RuleFixture fixture = failed(4, 3);
		assertThat(WorkerQuarantine.shouldQuarantine(fixture.worker(0), fixture.state.fleet().workers(), DEFAULTS))
			.isFalse();
	}

	@Test
	public void doublesTheQuarantineOfAWorkerThatFailsOnProbation() {
		RuleFixture fixture = failed(10, 3);
		assertThat(WorkerQuarantine.duration(fixture.worker(0), DEFAULTS)).isEqualTo(Duration.ofMinutes(10));
		fixture.state.apply(new SchedulingDecision.QuarantineWorker(fixture.worker(0).id(), RuleFixture.START));
		fixture.state.apply(new SchedulingDecision.ReleaseWorker(fixture.worker(0).id()));
		fixture.fail(fixture.waiting("again", 1), 0);
		assertThat(WorkerQuarantine.shouldQuarantine(fixture.worker(0), fixture.state.fleet().workers(), DEFAULTS))
			.isTrue();
		assertThat(WorkerQuarantine.duration(fixture.worker(0), DEFAULTS)).isEqualTo(Duration.ofMinutes(20));
	}

	private static RuleFixture failed(int workers, int failures) {
		RuleFixture fixture = new RuleFixture(workers);
		for (int failure = 0; failure < failures; failure++) {
			fixture.fail(fixture.waiting("j" + failure, 1), 0);
		}
		return fixture;
	}

}
