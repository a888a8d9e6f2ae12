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
	void completeWithoutAnswer(Exchange exchange, Problem problem) {
		if (exchange.mayHaveRun() || exchange.anyMayHaveReachedTarget()) {
			respond(exchange, Outcomes.unknown(exchange, "It may have run: " + lowerFirst(problem.message())));
			return;
		}
		releaseThenRespond(exchange, Outcomes.notRun(problem));
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
	void releaseThenRespond(Exchange exchange, RequestOutcome<AnswerSource> outcome) {
		if (!exchange.claimHeld()) {
			respond(exchange, outcome);
			return;
		}
		exchange.setPendingOutcome(outcome);
		exchange.transition("release-due");
		releaseClaim(exchange);
	}

	void releaseClaim(Exchange exchange) {
		exchange.setClaimHeld(false);
		exchange.storeCallStarted();
		this.context.decide(new RoutingDecision.Release(exchange.id(), exchange.request(), exchange.claimAttempt()));
	}

	void keepAnswer(Exchange exchange, Attempt attempt) {
		exchange.storeCallStarted();
		this.context.decide(new RoutingDecision.KeepAnswer(exchange.id(), exchange.request(), exchange.claimAttempt(),
				attempt.id(), attempt.target().spec().id()));
	}

	void respond(Exchange exchange, RequestOutcome<AnswerSource> outcome) {
		if (exchange.transition("tell")) {
			this.context.decide(new RoutingDecision.Respond(exchange.id(), outcome));
		}
		removeIfFinished(exchange);
	}

	void refuse(Exchange exchange, Problem problem) {
		if (exchange.transition("tell")) {
			this.context.decide(new RoutingDecision.Refuse(exchange.id(), problem));
		}
		removeIfFinished(exchange);
	}

	void storeCallCompleted(Exchange exchange) {
		exchange.storeCallEnded();
		if (exchange.isInState("releasing") || exchange.isInState("keeping")) {
			respond(exchange, exchange.pendingOutcome());
		}
		removeIfFinished(exchange);
	}

	void removeIfFinished(Exchange exchange) {
		if (exchange.isFinished()) {
			this.context.exchanges().remove(exchange.id());
		}
	}

}
