package io.verbenatrack.routing.rules;

import java.util.stream.IntStream;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests {@link SlotShare}.
 */
public class SlotShareTests {

	@Test
	public void sharesAddUpToTheSlots() {
		for (int rotation = -7; rotation < 7; rotation++) {
			int fixedRotation = rotation;
			assertThat(IntStream.range(0, 6).map((rank) -> SlotShare.of(8, 6, rank, fixedRotation)).sum()).isEqualTo(8);
		}
	}

	@Test
	public void sharesDifferByAtMostOne() {
		assertThat(IntStream.range(0, 6).map((rank) -> SlotShare.of(8, 6, rank, 3)).boxed()).containsOnly(1, 2);
	}

}
