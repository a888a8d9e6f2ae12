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
	 * @param outcomes the outcomes reported to callers
	 * @param runs returns how often the targets ran the request with an id
	 * @return one sentence for each violation
	 */
	static List<String> violations(List<ReportedOutcome> outcomes, ToIntFunction<String> runs) {
		List<String> violations = new ArrayList<>();
		for (ReportedOutcome outcome : outcomes) {
			check(outcome, runs.applyAsInt(outcome.id()), violations);
		}
		return violations;
	}

	private static void check(ReportedOutcome outcome, int runs, List<String> violations) {
		if (!outcome.idempotent() && runs > 1) {
			violations.add(outcome.id() + " is not idempotent and ran " + runs + " times");
		}
		if (outcome.outcome().equals(ReportedOutcome.NOT_RUN) && runs > 0) {
			violations.add(outcome.id() + " was reported as not-run and ran " + runs + " times");
		}
		if (outcome.outcome().equals(ReportedOutcome.ANSWERED) && runs == 0) {
			violations.add(outcome.id() + " was reported as answered and never ran");
		}
		if (outcome.outcome().equals(ReportedOutcome.ANSWERED) && !outcome.body().contains('"' + outcome.id() + '"')) {
			violations.add(outcome.id() + " received a wrong or partial answer: " + outcome.body());
		}
	}

}
