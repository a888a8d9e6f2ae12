package io.verbenatrack.bench.process;

import java.util.List;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link OutcomeChecker}.
 */
public class OutcomeCheckerTests {

	@Test
	public void oneRunWithItsOwnAnswerIsValid() {
		assertThat(violations(new ReportedOutcome("r", false, "answered", "{\"request\": \"r\"}"), 1)).isEmpty();
	}

	@Test
	public void secondRunOfARequestThatIsNotIdempotentIsFound() {
		assertThat(violations(new ReportedOutcome("r", false, "unknown", ""), 2)).hasSize(1);
		assertThat(violations(new ReportedOutcome("r", true, "unknown", ""), 2)).isEmpty();
	}

	@Test
	public void falseNotRunIsFound() {
		assertThat(violations(new ReportedOutcome("r", true, "not-run", ""), 1)).hasSize(1);
		assertThat(violations(new ReportedOutcome("r", true, "not-run", ""), 0)).isEmpty();
	}

	@Test
	public void answerOfAnotherRequestIsFound() {
		assertThat(violations(new ReportedOutcome("r", true, "answered", "{\"request\": \"other\"}"), 1)).hasSize(1);
	}

	private static List<String> violations(ReportedOutcome outcome, int runs) {
		return OutcomeChecker.violations(List.of(outcome), (id) -> runs);
	}

}
