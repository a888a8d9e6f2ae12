package io.verbenatrack.routing.rules;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests {@link HedgeDelay} on both sides of each threshold.
 */
public class HedgeDelayTests {

	@Test
	public void delayIsMeanPlusFourDeviations() {
		assertThat(HedgeDelay.delayNanos(100, 10, 2, 1000)).hasValue(18);
	}

	@Test
	public void doesNotHedgeWithoutEnoughSamples() {
		assertThat(HedgeDelay.delayNanos(3, 10, 2, 1000)).isEmpty();
	}

	@Test
	public void doesNotHedgeWhenTheHedgeWouldFinishTooLate() {
		assertThat(HedgeDelay.delayNanos(100, 10, 2, 27)).isEmpty();
	}

	@Test
	public void hasNoSpareSlotsFromMaximumUtilisation() {
		assertThat(HedgeDelay.hasSpareSlots(69, 100)).isTrue();
		assertThat(HedgeDelay.hasSpareSlots(70, 100)).isFalse();
	}

}
