package io.verbenatrack.routing.rules;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests {@link EarlyRefusal} on both sides of each threshold.
 */
public class EarlyRefusalTests {

	@Test
	public void expectsWaitByLittlesLaw() {
		assertThat(EarlyRefusal.expectedWaitNanos(10, 0.5, 4, 100)).isEqualTo(500);
	}

	@Test
	public void refusesWhatWaitsTooLong() {
		assertThat(EarlyRefusal.refuses(501, 500, 10_000, 100)).isTrue();
		assertThat(EarlyRefusal.refuses(500, 500, 10_000, 100)).isFalse();
	}

	@Test
	public void refusesWhatCouldMissItsDeadline() {
		assertThat(EarlyRefusal.refuses(51, 500, 200, 100)).isTrue();
		assertThat(EarlyRefusal.refuses(50, 500, 200, 100)).isFalse();
	}

	@Test
	public void neverRefusesWhatNeedNotWait() {
		assertThat(EarlyRefusal.refuses(0, 500, 50, 100)).isFalse();
	}

	@Test
	public void givesUpWhatCannotFinish() {
		assertThat(EarlyRefusal.givesUp(49, 100)).isTrue();
		assertThat(EarlyRefusal.givesUp(50, 100)).isFalse();
	}

}
