package io.verbenatrack.routing.rules;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests {@link PowerOfTwoChoices}.
 */
public class PowerOfTwoChoicesTests {

	@Test
	public void selectsTheLessLoadedOfTwo() {
		for (int seed = 0; seed < 20; seed++) {
			assertThat(PowerOfTwoChoices.choose(List.of(1, 2), Integer::doubleValue, new SplittableRandom(seed)))
				.isEqualTo(1);
		}
	}

	@Test
	public void doesNotAlwaysSelectTheLeastLoadedOfAll() {
		SplittableRandom random = new SplittableRandom(1);
		long least = IntStream.range(0, 1000)
			.map((i) -> PowerOfTwoChoices.choose(List.of(1, 2, 3, 4), Integer::doubleValue, random))
			.filter((chosen) -> chosen == 1)
			.count();
		assertThat(least).isBetween(400L, 600L);
	}

	@Test
	public void selectsTheOnlyCandidate() {
		assertThat(PowerOfTwoChoices.choose(List.of(9), Integer::doubleValue, new SplittableRandom(1))).isEqualTo(9);
	}

}
