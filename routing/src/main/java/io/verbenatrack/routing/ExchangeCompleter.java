package io.verbenatrack.routing;

import io.verbenatrack.model.Problem;
import io.verbenatrack.model.RequestOutcome;

/**
 * Completes exchanges: releases or answers their claims and reports their outcomes.
 */
final class ExchangeCompleter {

	private final RouterContext context;

	ExchangeCompleter(RouterContext context) {
		this.context = context;
	}

	/**
	 * Completes an exchange without an answer. The outcome is unknown when a dispatch may
	 * have run; otherwise the claim is released and the request reported as not run.
	 * @param exchange the exchange
	 * @param problem the problem to report
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
	 * Releases the claim, so that a resend can run, and then reports the outcome to the
	 * caller.
	 * @param exchange an exchange of which no dispatch reached a target
	 * @param outcome the outcome to report
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
			this.context.decide(new RoutingDecision.Respond(exchange.id(), outcome));
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
