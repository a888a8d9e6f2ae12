package io.verbenatrack.routing.rules;

import java.time.Duration;
import java.util.SplittableRandom;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests {@link RetryBackoff}.
 */
public class RetryBackoffTests {

	private static final Duration BASE = Duration.ofMillis(20);

	private static final Duration MAXIMUM = Duration.ofMillis(100);

	@Test
	public void staysWithinTheDoublingCeiling() {
		SplittableRandom random = new SplittableRandom(1);
		for (int i = 0; i < 1000; i++) {
			assertThat(RetryBackoff.delayNanos(1, BASE, MAXIMUM, random)).isBetween(0L, 2 * BASE.toNanos());
		}
	}

	@Test
	public void neverExceedsTheMaximum() {
		SplittableRandom random = new SplittableRandom(1);
		for (int i = 0; i < 1000; i++) {
			assertThat(RetryBackoff.delayNanos(50, BASE, MAXIMUM, random)).isBetween(0L, MAXIMUM.toNanos());
		}
	}

}
