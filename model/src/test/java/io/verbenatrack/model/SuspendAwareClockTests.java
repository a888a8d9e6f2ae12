package io.verbenatrack.model;

import java.time.Duration;
import java.time.Instant;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SuspendAwareClock}.
 */
public class SuspendAwareClockTests {

	private Duration steady;

	private Instant timeOfDay;

	private SuspendAwareClock clock;

	private long started;

	@BeforeMethod
	void start() {
		this.steady = Duration.ofSeconds(5);
		this.timeOfDay = Instant.EPOCH;
		this.clock = new SuspendAwareClock(() -> this.steady.toNanos(), () -> this.timeOfDay);
		this.started = this.clock.nanoTime();
	}

	private Duration after(Duration steadyPart, Duration timeOfDayPart) {
		this.steady = this.steady.plus(steadyPart);
		this.timeOfDay = this.timeOfDay.plus(timeOfDayPart);
		return Duration.ofNanos(this.clock.nanoTime() - this.started);
	}

	@Test
	public void runsWithTheSteadyClock() {
		assertThat(after(Duration.ofSeconds(1), Duration.ofSeconds(1))).isEqualTo(Duration.ofSeconds(1));
	}

	@Test
	public void countsASuspension() {
		assertThat(after(Duration.ofMillis(1), Duration.ofSeconds(6))).isGreaterThanOrEqualTo(Duration.ofSeconds(6));
		assertThat(after(Duration.ofSeconds(1), Duration.ofSeconds(1))).isEqualTo(Duration.ofSeconds(7));
	}

	@Test
	public void ignoresSmallCorrections() {
		assertThat(after(Duration.ofSeconds(1), Duration.ofMillis(1100))).isEqualTo(Duration.ofSeconds(1));
	}

	@Test
	public void neverGoesBackWhenTheTimeOfDayDoes() {
		assertThat(after(Duration.ofSeconds(1), Duration.ofSeconds(-9))).isEqualTo(Duration.ofSeconds(1));
		assertThat(after(Duration.ofSeconds(1), Duration.ofSeconds(1))).isEqualTo(Duration.ofSeconds(2));
	}

	@Test
	public void countsASuspensionAfterTheTimeOfDayWentBack() {
		after(Duration.ofSeconds(1), Duration.ofSeconds(-9));
		assertThat(after(Duration.ofMillis(1), Duration.ofSeconds(4))).isGreaterThanOrEqualTo(Duration.ofSeconds(5));
	}

}
