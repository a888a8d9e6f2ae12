package io.verbenatrack.routing;

import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.RequestOutcome;

/**
 * Creates the problems and outcomes that are reported to callers.
 */
final class Outcomes {

	private static final String SEND_AGAIN = "Send it again later; it did not run.";

	private static final String ASK_AGAIN = "Send the same request id again to learn its outcome.";

	private static final String RUN_AGAIN = "It is idempotent, so send it again.";

	private Outcomes() {
	}

	static Problem tooManyOpen(int open) {
		return new Problem(ProblemKind.OVERLOADED, "This instance has " + open + " open requests.", SEND_AGAIN);
	}

	static Problem waitTooLong(long waitNanos) {
		return new Problem(ProblemKind.OVERLOADED,
				"The expected wait is " + waitNanos / 1_000_000 + " ms, which is too long.", SEND_AGAIN);
	}

	static Problem noTarget(Exchange exchange) {
		return new Problem(ProblemKind.UNAVAILABLE, "No target serves " + exchange.request().service() + " now.",
				SEND_AGAIN);
	}

	static Problem shuttingDown() {
		return new Problem(ProblemKind.UNAVAILABLE, "This instance is shutting down.",
				"Send it again to another instance; it did not run.");
	}

	static Problem notDispatched(String cause) {
		return new Problem(ProblemKind.UNAVAILABLE, "It was not dispatched: " + cause + ".", SEND_AGAIN);
	}

	static Problem earlierSendNotDispatched() {
		return notDispatched("an earlier send of the same request was given up before its dispatch");
	}

	static Problem differentRequest() {
		return new Problem(ProblemKind.CONFLICT, "The request id was used for another service or body.",
				"Give each request an id of its own.");
	}

	static RequestOutcome<AnswerSource> notRun(Problem problem) {
		return new RequestOutcome.NotRun<>(problem);
	}

	static RequestOutcome<AnswerSource> unknown(Exchange exchange, String message) {
		String remedy = exchange.idempotent() ? RUN_AGAIN : ASK_AGAIN;
		return new RequestOutcome.Unknown<>(new Problem(ProblemKind.UNKNOWN_OUTCOME, message, remedy));
	}

	static RequestOutcome<AnswerSource> keptAnswer(Exchange exchange, KeptAnswer answer) {
		return answer.bodyKept()
				? new RequestOutcome.Answered<>(answer.attempt(), answer.target(), new AnswerSource.FromStore(answer))
				: tooLargeToKeep(exchange, answer);
	}

	private static RequestOutcome<AnswerSource> tooLargeToKeep(Exchange exchange, KeptAnswer answer) {
		return new RequestOutcome.Unknown<>(new Problem(ProblemKind.UNKNOWN_OUTCOME,
				"It ran once as attempt " + answer.attempt() + " on " + answer.target()
						+ ", and its answer was too large to keep.",
				"Ask the service for the result; " + exchange.request().id() + " never runs again."));
	}

}
