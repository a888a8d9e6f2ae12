package io.verbenatrack.model;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link Identifiers}.
 */
public class IdentifiersTests {

	@Test
	public void acceptsLettersDigitsAndPunctuation() {
		assertThat(Identifiers.isValid("shah-alam_1.a:b")).isTrue();
	}

	@Test
	public void refusesBlanksAndControlCharacters() {
		assertThat(Identifiers.isValid("a b")).isFalse();
		assertThat(Identifiers.isValid("a\n")).isFalse();
	}

	@Test
	public void refusesTextOverTheMaximumLength() {
		assertThat(Identifiers.isValid("x".repeat(Identifiers.MAXIMUM_LENGTH))).isTrue();
		assertThat(Identifiers.isValid("x".repeat(Identifiers.MAXIMUM_LENGTH + 1))).isFalse();
	}

	@Test
	public void messageNamesTheRemedy() {
		assertThatIllegalArgumentException().isThrownBy(() -> new JobId("")).withMessageContaining("Use 1 to 128");
	}

}
