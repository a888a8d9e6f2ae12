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

	private Duration monotonic;

	private Instant wallClock;

	private SuspendAwareClock clock;

	private long startNanos;

	@BeforeMethod
	void start() {
		this.monotonic = Duration.ofSeconds(5);
		this.wallClock = Instant.EPOCH;
		this.clock = new SuspendAwareClock(() -> this.monotonic.toNanos(), () -> this.wallClock);
		this.startNanos = this.clock.nanoTime();
	}

	private Duration advance(Duration monotonicPart, Duration wallClockPart) {
		this.monotonic = this.monotonic.plus(monotonicPart);
		this.wallClock = this.wallClock.plus(wallClockPart);
		return Duration.ofNanos(this.clock.nanoTime() - this.startNanos);
	}

	@Test
	public void followsTheMonotonicClock() {
		assertThat(advance(Duration.ofSeconds(1), Duration.ofSeconds(1))).isEqualTo(Duration.ofSeconds(1));
	}

	@Test
	public void countsASuspension() {
		assertThat(advance(Duration.ofMillis(1), Duration.ofSeconds(6))).isGreaterThanOrEqualTo(Duration.ofSeconds(6));
		assertThat(advance(Duration.ofSeconds(1), Duration.ofSeconds(1))).isEqualTo(Duration.ofSeconds(7));
	}

	@Test
	public void ignoresSmallClockCorrections() {
		assertThat(advance(Duration.ofSeconds(1), Duration.ofMillis(1100))).isEqualTo(Duration.ofSeconds(1));
	}

	@Test
	public void neverGoesBackWhenTheWallClockDoes() {
		assertThat(advance(Duration.ofSeconds(1), Duration.ofSeconds(-9))).isEqualTo(Duration.ofSeconds(1));
		assertThat(advance(Duration.ofSeconds(1), Duration.ofSeconds(1))).isEqualTo(Duration.ofSeconds(2));
	}

	@Test
	public void countsASuspensionAfterTheWallClockWentBack() {
		advance(Duration.ofSeconds(1), Duration.ofSeconds(-9));
		assertThat(advance(Duration.ofMillis(1), Duration.ofSeconds(4))).isGreaterThanOrEqualTo(Duration.ofSeconds(5));
	}

}
