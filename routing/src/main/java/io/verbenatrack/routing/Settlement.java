package io.verbenatrack.routing;

import io.verbenatrack.model.Problem;
import io.verbenatrack.model.RequestOutcome;

/**
 * Ends exchanges with a truthful outcome.
 */
final class Settlement {

	private final RouterContext context;

	Settlement(RouterContext context) {
		this.context = context;
	}

	/**
	 * Ends an exchange that has no answer and no dispatch in doubt but those marked.
	 * @param exchange the exchange
	 * @param problem why, in case that it never ran
	 */
	void withoutAnswer(Exchange exchange, Problem problem) {
		if (exchange.mayHaveRun() || exchange.anyBegun()) {
			tell(exchange, Outcomes.unknown(exchange, "It may have run: " + lowerFirst(problem.message())));
			return;
		}
		releaseThenTell(exchange, Outcomes.notRun(problem));
	}

	private static String lowerFirst(String message) {
		return Character.toLowerCase(message.charAt(0)) + message.substring(1);
	}

	/**
	 * Gives the claim back, so that a resend may run, and then tells the caller.
	 * @param exchange the exchange, of which nothing began
	 * @param outcome what to tell
	 */
	void releaseThenTell(Exchange exchange, RequestOutcome<AnswerSource> outcome) {
		if (!exchange.claimHeld()) {
			tell(exchange, outcome);
			return;
		}
		exchange.pend(outcome);
		exchange.move("release-due");
		release(exchange);
	}

	void release(Exchange exchange) {
		exchange.holdClaim(false);
		exchange.storeStepBegan();
		this.context.decide(new RoutingDecision.Release(exchange.id(), exchange.request(), exchange.claimed()));
	}

	void keep(Exchange exchange, Attempt attempt) {
		exchange.storeStepBegan();
		this.context.decide(new RoutingDecision.KeepAnswer(exchange.id(), exchange.request(), exchange.claimed(),
				attempt.id(), attempt.target().spec().id()));
	}

	void tell(Exchange exchange, RequestOutcome<AnswerSource> outcome) {
		if (exchange.move("tell")) {
			this.context.decide(new RoutingDecision.Tell(exchange.id(), outcome));
		}
		forgetIfOver(exchange);
	}

	void refuse(Exchange exchange, Problem problem) {
		if (exchange.move("tell")) {
			this.context.decide(new RoutingDecision.Refuse(exchange.id(), problem));
		}
		forgetIfOver(exchange);
	}

	void storeStepSettled(Exchange exchange) {
		exchange.storeStepEnded();
		if (exchange.is("releasing") || exchange.is("keeping")) {
			tell(exchange, exchange.pending());
		}
		forgetIfOver(exchange);
	}

	void forgetIfOver(Exchange exchange) {
		if (exchange.isOver()) {
			this.context.exchanges().remove(exchange.id());
		}
	}

}
