package io.verbenatrack.model;

import java.time.Duration;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the {@link LeaseClock} of this machine.
 */
public class LeaseClockTests {

	private static final int FIRST_RELEASE_WITH_FOREIGN_FUNCTIONS = 22;

	@Test
	public void readsTheBootTimeClockWhereTheJavaRuntimeCan() {
		boolean expected = System.getProperty("os.name").equals("Linux")
				&& Runtime.version().feature() >= FIRST_RELEASE_WITH_FOREIGN_FUNCTIONS;
		assertThat(BootTimeClock.open().isPresent()).isEqualTo(expected);
	}

	@Test
	public void bothReadingsKeepUpWithTheMonotonicClock() {
		LeaseClock clock = LeaseClock.system();
		ClockReading before = clock.read();
		long startNanos = System.nanoTime();
		while (System.nanoTime() - startNanos < Duration.ofMillis(20).toNanos()) {
			Thread.onSpinWait();
		}
		ClockReading after = clock.read();
		assertThat(after.granted().nanosSince(before.granted()))
			.isGreaterThanOrEqualTo(Duration.ofMillis(20).toNanos());
		assertThat(before.held().plus(Duration.ofMillis(20)).isBefore(after.held())).isTrue();
	}

}
