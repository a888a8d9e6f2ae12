package io.verbenatrack.routing.rules;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests {@link ConcurrencyGradient}.
 */
public class ConcurrencyGradientTests {

	@Test
	public void growsAtLongTermServiceTime() {
		assertThat(ConcurrencyGradient.next(20, 100, 100, 4, 100)).isGreaterThan(20);
	}

	@Test
	public void shrinksWhenServiceTimesGrow() {
		assertThat(ConcurrencyGradient.next(100, 100, 400, 4, 100)).isLessThan(100);
	}

	@Test
	public void staysBetweenItsBounds() {
		assertThat(ConcurrencyGradient.next(4, 100, 10_000, 4, 100)).isGreaterThanOrEqualTo(4);
		assertThat(ConcurrencyGradient.next(100, 100, 100, 4, 100)).isEqualTo(100);
	}

}
