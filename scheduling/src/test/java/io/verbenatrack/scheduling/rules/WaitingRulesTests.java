package io.verbenatrack.scheduling.rules;

import java.time.Duration;
import java.time.Instant;

import org.testng.annotations.Test;

import io.verbenatrack.scheduling.state.JobRecord;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Aging}, {@link Backfill} and {@link Defragmentation}.
 */
public class WaitingRulesTests {

	private static final Instant HOUR_LATER = RuleFixture.START.plus(Duration.ofHours(1));

	private final RuleFixture fixture = new RuleFixture(2);

	private final JobRecord small = this.fixture.running("small", 2, 0);

	private final JobRecord large = this.fixture.waiting("large", 8);

	@Test
	public void ranksAJobHigherTheLongerItWaits() {
		double early = Aging.rank(this.large, 1_000, RuleFixture.START);
		assertThat(Aging.rank(this.large, 1_000, HOUR_LATER)).isGreaterThan(early);
	}

	@Test
	public void ranksALargeGangAboveASmallJobOfTheSameAge() {
		assertThat(Aging.rank(this.large, 1_000, HOUR_LATER)).isGreaterThan(Aging.rank(this.small, 1_000, HOUR_LATER));
	}

	@Test
	public void backfillsAJobThatEndsInTimeAndNoOther() {
		JobRecord later = this.fixture.waiting("later", 1);
		assertThat(Backfill.allows(this.fixture.state.runTimes(), later, RuleFixture.START, HOUR_LATER)).isTrue();
		assertThat(Backfill.allows(this.fixture.state.runTimes(), later, RuleFixture.START, HOUR_LATER.minusSeconds(1)))
			.isFalse();
	}

	@Test
	public void movesASmallerJobAfterTheMinimumTime() {
		assertThat(Defragmentation.mayMove(this.fixture.state, this.small, this.large, HOUR_LATER)).isTrue();
	}

	@Test
	public void doesNotMoveAJobThatJustStarted() {
		assertThat(Defragmentation.mayMove(this.fixture.state, this.small, this.large, RuleFixture.START)).isFalse();
	}

}
