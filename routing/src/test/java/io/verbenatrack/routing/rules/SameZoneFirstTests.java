package io.verbenatrack.routing.rules;

import java.util.List;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests {@link SameZoneFirst}.
 */
public class SameZoneFirstTests {

	@Test
	public void prefersTheLocalZone() {
		assertThat(SameZoneFirst.prefer(List.of("near", "far"), "near"::equals, (candidate) -> 0.5))
			.containsExactly("near");
	}

	@Test
	public void usesAllZonesWhenTheLocalZoneIsMoreLoaded() {
		assertThat(SameZoneFirst.prefer(List.of("near", "far"), "near"::equals,
				(candidate) -> candidate.equals("near") ? 1 : 0.5))
			.containsExactly("near", "far");
	}

	@Test
	public void usesOtherZonesWithoutLocalTargets() {
		assertThat(SameZoneFirst.prefer(List.of("far"), "near"::equals, (candidate) -> 0)).containsExactly("far");
	}

}
