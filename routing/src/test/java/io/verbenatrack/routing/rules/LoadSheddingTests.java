package io.verbenatrack.routing.rules;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests {@link LoadShedding} on both sides of each threshold.
 */
public class LoadSheddingTests {

	@Test
	public void estimatesWaitByLittlesLaw() {
		assertThat(LoadShedding.expectedWaitNanos(10, 0.5, 4, 100)).isEqualTo(500);
	}

	@Test
	public void refusesRequestThatWaitsTooLong() {
		assertThat(LoadShedding.refusesNew(501, 500, 10_000, 100)).isTrue();
		assertThat(LoadShedding.refusesNew(500, 500, 10_000, 100)).isFalse();
	}

	@Test
	public void refusesRequestLikelyToMissItsDeadline() {
		assertThat(LoadShedding.refusesNew(51, 500, 200, 100)).isTrue();
		assertThat(LoadShedding.refusesNew(50, 500, 200, 100)).isFalse();
	}

	@Test
	public void acceptsRequestThatNeedNotWait() {
		assertThat(LoadShedding.refusesNew(0, 500, 50, 100)).isFalse();
	}

	@Test
	public void dropsRequestThatCannotFinish() {
		assertThat(LoadShedding.dropsQueued(49, 100)).isTrue();
		assertThat(LoadShedding.dropsQueued(50, 100)).isFalse();
	}

}
