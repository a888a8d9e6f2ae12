package io.verbenatrack.routing;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests {@link RetryBudget}.
 */
public class RetryBudgetTests {

	@Test
	public void allowsRetriesForOneTenthOfFirstAttempts() {
		RetryBudget budget = new RetryBudget(0.1);
		int retries = 0;
		for (int i = 0; i < 10_000; i++) {
			budget.recordFirstAttempt();
			retries += budget.tryWithdraw() ? 1 : 0;
		}
		assertThat(retries).isBetween(999, 1001);
	}

	@Test
	public void accumulatesAtMostTenTokens() {
		RetryBudget budget = new RetryBudget(0.1);
		for (int i = 0; i < 10_000; i++) {
			budget.recordFirstAttempt();
		}
		int retries = 0;
		while (budget.tryWithdraw()) {
			retries++;
		}
		assertThat(retries).isEqualTo(10);
	}

}
