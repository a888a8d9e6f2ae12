package io.verbenatrack.scheduling.rules;

import java.time.Duration;

import org.testng.annotations.Test;

import io.verbenatrack.scheduling.state.JobRecord;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RunTimeEstimate}. All jobs declare a run time of one hour.
 */
public class RunTimeEstimateTests {

	@Test
	public void usesTheDeclaredRunTimeWithoutSamples() {
		RuleFixture fixture = new RuleFixture(1);
		assertThat(total(fixture, RunTimeEstimate.MEDIAN)).isEqualTo(Duration.ofHours(1));
	}

	@Test
	public void usesQuantilesOfTheJobClass() {
		RuleFixture fixture = new RuleFixture(1);
		for (int hours = 1; hours <= 10; hours++) {
			fixture.finish("j" + hours, 0, RuleFixture.START.plus(Duration.ofHours(hours)));
		}
		assertThat(total(fixture, RunTimeEstimate.MEDIAN)).isEqualTo(Duration.ofHours(5));
		assertThat(total(fixture, RunTimeEstimate.CAUTIOUS)).isEqualTo(Duration.ofHours(9));
	}

	@Test
	public void extendsTheEstimateOfAJobThatExceededIt() {
		RuleFixture fixture = new RuleFixture(1);
		JobRecord job = fixture.running("j", 1, 0);
		Duration left = RunTimeEstimate.remaining(fixture.state.runTimes(), job, RunTimeEstimate.MEDIAN,
				RuleFixture.START.plus(Duration.ofHours(4)));
		assertThat(left).isEqualTo(Duration.ofHours(1));
	}

	private static Duration total(RuleFixture fixture, double quantile) {
		return RunTimeEstimate.total(fixture.state.runTimes(), fixture.waiting("next", 1), quantile);
	}

}
