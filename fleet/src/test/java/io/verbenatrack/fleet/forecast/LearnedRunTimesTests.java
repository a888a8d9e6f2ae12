package io.verbenatrack.fleet.forecast;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.fleet.state.RunTimes;
import io.verbenatrack.model.AccountId;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for {@link LearnedRunTimes}: what is expected of a class after some samples.
 */
public class LearnedRunTimesTests {

	private static final RunClass WIDE = new RunClass("wide", new AccountId("account"));

	private final List<ForecastEvent> events = new ArrayList<>();

	private LearnedRunTimes runTimes;

	private Random random;

	private long nowNanos;

	@BeforeMethod
	void createRunTimes() {
		this.runTimes = new LearnedRunTimes();
		this.random = new Random(7);
		this.events.clear();
		this.nowNanos = 1;
	}

	private void add(RunClass runClass, int samples, double slope, double logTypical, double spread) {
		for (int sample = 0; sample < samples; sample++) {
			double x = 9 + this.random.nextGaussian();
			double y = logTypical + slope * (x - 9) + spread * this.random.nextGaussian();
			this.runTimes.add(runClass, x, y, this.runTimes.predict(runClass, x), 1);
			this.nowNanos += 20_000_000_000L;
			this.runTimes.decideUse(this.nowNanos, this.events);
		}
	}

	// Guards against forecasts that are as wrong as estimates that say nothing.
	@Test
	public void regressionReplacesEstimatesThatAreOff() {
		add(WIDE, 20, 0, 8, 0.15);
		assertThat(this.runTimes.expect(WIDE, 9)).isCloseTo(8, within(0.25));
		assertThat(this.runTimes.expect(WIDE, 10.5)).isCloseTo(8, within(0.6));
		assertThat(this.runTimes.tail(WIDE)).isBetween(0.05, 1.0);
		assertThat(this.events).singleElement()
			.isInstanceOfSatisfying(ForecastEvent.RunTimesSwitched.class,
					(switched) -> assertThat(switched.learned()).isTrue());
	}

	// Guards against learned values that are worse than good estimates.
	@Test
	public void goodEstimatesRemainInUse() {
		add(WIDE, 300, 1, 9, 0.02);
		assertThat(this.runTimes.expect(WIDE, 9.7)).isEqualTo(9.7);
		assertThat(this.events).isEmpty();
	}

	// Guards against forecasts that stay with the past when jobs change.
	@Test
	public void changeIsFollowedWithinDozensOfRuns() {
		add(WIDE, 100, 0, 8, 0.15);
		add(WIDE, 30, 0, 9.4, 0.15);
		assertThat(this.runTimes.expect(WIDE, 9)).isCloseTo(9.4, within(0.25));
	}

	// Guards against a new account of a known queue that starts without any knowledge.
	@Test
	public void newAccountBeginsWithItsQueue() {
		add(WIDE, 40, 0, 8, 0.15);
		assertThat(this.runTimes.expect(new RunClass("wide", new AccountId("other")), 9)).isCloseTo(8, within(0.2));
	}

	// Guards against memory that grows with the names that callers choose.
	@Test
	public void classesAreBounded() {
		for (int account = 0; account < 2000; account++) {
			add(new RunClass("queue-" + account, new AccountId("account-" + account)), 1, 0, 8, 0.1);
		}
		add(WIDE, 20, 0, 8, 0.1);
		assertThat(this.runTimes.size()).isEqualTo(RunTimes.MAX_CLASSES);
		assertThat(this.runTimes.expect(WIDE, 9)).isCloseTo(8, within(0.25));
	}

	// Guards against a forecast far beyond anything seen, from the slope of a few
	// samples.
	@Test
	public void estimateBeyondThoseSeenCountsInFull() {
		add(WIDE, 40, 0, 8, 0.1);
		double beyond = this.runTimes.expect(WIDE, 14) - this.runTimes.expect(WIDE, 13);
		assertThat(beyond).isCloseTo(1, within(0.01));
	}

}
