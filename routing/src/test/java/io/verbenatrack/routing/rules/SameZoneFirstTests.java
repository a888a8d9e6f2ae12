package io.verbenatrack.routing.rules;

import java.util.List;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests {@link SameZoneFirst}.
 */
public class SameZoneFirstTests {

	@Test
	public void keepsToTheOwnZone() {
		assertThat(SameZoneFirst.prefer(List.of("near", "far"), "near"::equals, (one) -> 0.5)).containsExactly("near");
	}

	@Test
	public void spillsOverWhenTheOwnZoneIsFuller() {
		assertThat(SameZoneFirst.prefer(List.of("near", "far"), "near"::equals, (one) -> one.equals("near") ? 1 : 0.5))
			.containsExactly("near", "far");
	}

	@Test
	public void takesOtherZonesWhenTheOwnHasNone() {
		assertThat(SameZoneFirst.prefer(List.of("far"), "near"::equals, (one) -> 0)).containsExactly("far");
	}

}
