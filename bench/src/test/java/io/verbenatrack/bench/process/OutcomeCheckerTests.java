package io.verbenatrack.bench.process;

import java.util.List;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link OutcomeChecker}.
 */
public class OutcomeCheckerTests {

	@Test
	public void oneRunAndItsOwnAnswerAreFine() {
		assertThat(violations(new ToldOutcome("r", false, "answered", "{\"request\": \"r\"}"), 1)).isEmpty();
	}

	@Test
	public void secondRunOfARequestThatIsNotIdempotentIsFound() {
		assertThat(violations(new ToldOutcome("r", false, "unknown", ""), 2)).hasSize(1);
		assertThat(violations(new ToldOutcome("r", true, "unknown", ""), 2)).isEmpty();
	}

	@Test
	public void falseNotRunIsFound() {
		assertThat(violations(new ToldOutcome("r", true, "not-run", ""), 1)).hasSize(1);
		assertThat(violations(new ToldOutcome("r", true, "not-run", ""), 0)).isEmpty();
	}

	@Test
	public void foreignAnswerIsFound() {
		assertThat(violations(new ToldOutcome("r", true, "answered", "{\"request\": \"other\"}"), 1)).hasSize(1);
	}

	private static List<String> violations(ToldOutcome told, int runs) {
		return OutcomeChecker.violations(List.of(told), (id) -> runs);
	}

}
