package io.verbenatrack.bench.process;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;

/**
 * Compares the outcomes reported to callers with the executions at the targets.
 */
final class OutcomeChecker {

	private OutcomeChecker() {
	}

	/**
	 * Finds outcomes that violate the delivery guarantees.
	 * @param told the outcomes reported to callers
	 * @param runs returns how often the targets ran the request with an id
	 * @return one sentence for each violation
	 */
	static List<String> violations(List<ToldOutcome> told, ToIntFunction<String> runs) {
		List<String> found = new ArrayList<>();
		for (ToldOutcome outcome : told) {
			check(outcome, runs.applyAsInt(outcome.id()), found);
		}
		return found;
	}

	private static void check(ToldOutcome outcome, int runs, List<String> found) {
		if (!outcome.idempotent() && runs > 1) {
			found.add(outcome.id() + " may run once and ran " + runs + " times");
		}
		if (outcome.outcome().equals(ToldOutcome.NOT_RUN) && runs > 0) {
			found.add(outcome.id() + " was told not-run and ran " + runs + " times");
		}
		if (outcome.outcome().equals(ToldOutcome.ANSWERED) && runs == 0) {
			found.add(outcome.id() + " was answered and never ran");
		}
		if (outcome.outcome().equals(ToldOutcome.ANSWERED) && !outcome.body().contains('"' + outcome.id() + '"')) {
			found.add(outcome.id() + " got a foreign or partial answer: " + outcome.body());
		}
	}

}
