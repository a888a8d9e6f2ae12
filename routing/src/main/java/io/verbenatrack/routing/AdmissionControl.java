package io.verbenatrack.routing;

import java.util.List;

import io.verbenatrack.model.Problem;
import io.verbenatrack.routing.rules.LoadShedding;

/**
 * Admits requests, claims those that are not idempotent, and queues them for dispatch.
 */
final class AdmissionControl {

	private static final long RECHECK_BASE_NANOS = 20_000_000;

	private static final int RECHECK_DOUBLINGS = 4;

	private final RouterContext context;

	private final ExchangeCompleter completer;

	AdmissionControl(RouterContext context, ExchangeCompleter completer) {
		this.context = context;
		this.completer = completer;
	}

	void accept(RoutingEvent.Accepted event) {
		Exchange exchange = new Exchange(event);
		int open = this.context.exchanges().size();
		this.context.exchanges().put(event.exchange(), exchange);
		this.context.timers().schedule(TimerQueue.Kind.DEADLINE, event.deadlineNanos(), event.exchange(), null);
		if (open >= this.context.settings().maximumOpenExchanges()) {
			refuseUnclaimed(exchange, Outcomes.tooManyOpen(open));
			return;
		}
		exchange.setRefusal(admissionProblem(exchange));
		if (!exchange.idempotent() && !(exchange.isFirstSend() && exchange.refusal() != null)) {
			claim(exchange);
		}
		else if (exchange.refusal() != null) {
			refuseUnclaimed(exchange, exchange.refusal());
		}
		else {
			enqueue(exchange, "admitted");
		}
	}

	private Problem admissionProblem(Exchange exchange) {
		if (this.context.draining()) {
			return Outcomes.shuttingDown();
		}
		ServiceQueue queue = this.context.queue(exchange);
		List<TargetPool.Candidate> eligible = this.context.pool().eligible(queue.service(), this.context.nowNanos());
		if (eligible.isEmpty()) {
			return Outcomes.noTarget(exchange);
		}
		int slots = eligible.stream().mapToInt(TargetPool.Candidate::capacity).sum();
		long wait = queue.expectedWaitNanos(exchange, slots);
		boolean waitTooLong = LoadShedding.refusesNew(wait, this.context.settings().maximumQueueWait().toNanos(),
				exchange.remainingNanos(this.context.nowNanos()), queue.times().meanNanos());
		return waitTooLong ? Outcomes.waitTooLong(wait) : null;
	}

	// Without a claim it is unknown whether an earlier send of the same request ran.
	private void refuseUnclaimed(Exchange exchange, Problem problem) {
		boolean knownFirst = exchange.idempotent() || exchange.isFirstSend();
		this.completer.respond(exchange, knownFirst ? Outcomes.notRun(problem) : Outcomes.unknown(exchange,
				"This send was not dispatched (" + problem.message() + "), and an earlier one may have run."));
	}

	private void claim(Exchange exchange) {
		if (!exchange.transition("claim-requested")) {
			return;
		}
		if (exchange.claimAttempt() == null) {
			exchange.setClaimAttempt(this.context.nextAttempt());
		}
		exchange.claimRequested();
		this.context.decide(new RoutingDecision.Claim(exchange.id(), exchange.request(), exchange.accepted().body(),
				exchange.claimAttempt()));
	}

	void retryClaim(Exchange exchange) {
		if (exchange.isInState("waiting")) {
			claim(exchange);
		}
	}

	void claimCompleted(Exchange exchange, ClaimResult result) {
		if (!exchange.claimReplied()) {
			return;
		}
		boolean ownClaim = result instanceof ClaimResult.AlreadyRunning running
				&& running.attempt().equals(exchange.claimAttempt());
		ClaimResult effectiveResult = ownClaim ? new ClaimResult.Granted() : result;
		if (!exchange.isInState("claiming")) {
			releaseUnused(exchange, effectiveResult);
			return;
		}
		switch (effectiveResult) {
			case ClaimResult.Granted granted -> claimGranted(exchange);
			case ClaimResult.AlreadyRunning running -> awaitEarlierSend(exchange);
			case ClaimResult.Answered answered ->
				this.completer.respond(exchange, Outcomes.keptAnswer(exchange, answered.answer()));
			case ClaimResult.DifferentRequest different -> this.completer.refuse(exchange, Outcomes.differentRequest());
			case ClaimResult.Unavailable unavailable -> refuseUnclaimed(exchange, unavailable.problem());
			case ClaimResult.Unknown unknown -> claimUnknown(exchange, unknown.problem());
		}
	}

	private void releaseUnused(Exchange exchange, ClaimResult result) {
		if (result instanceof ClaimResult.Granted || result instanceof ClaimResult.Unknown) {
			this.completer.releaseClaim(exchange);
		}
		this.completer.removeIfFinished(exchange);
	}

	private void claimGranted(Exchange exchange) {
		exchange.setClaimHeld(true);
		if (exchange.waitedForEarlierSend()) {
			this.completer.releaseThenRespond(exchange, Outcomes.notRun(Outcomes.earlierSendNotDispatched()));
		}
		else if (exchange.callerGone()) {
			this.completer.releaseThenRespond(exchange, Outcomes.notRun(Outcomes.notDispatched("the caller left")));
		}
		else if (exchange.refusal() != null) {
			this.completer.releaseThenRespond(exchange, Outcomes.notRun(exchange.refusal()));
		}
		else {
			enqueue(exchange, "claim-granted");
		}
	}

	private void awaitEarlierSend(Exchange exchange) {
		if (exchange.callerGone()) {
			this.completer.respond(exchange, Outcomes.unknown(exchange, "An earlier send of it is running."));
			return;
		}
		exchange.transition("claim-held");
		long delay = RECHECK_BASE_NANOS << Math.min(RECHECK_DOUBLINGS, exchange.nextRecheck());
		this.context.timers().schedule(TimerQueue.Kind.RECHECK, this.context.nowNanos() + delay, exchange.id(), null);
	}

	private void claimUnknown(Exchange exchange, Problem problem) {
		exchange.setClaimHeld(true);
		this.completer.releaseThenRespond(exchange, Outcomes.unknown(exchange,
				"This send was not dispatched (" + problem.message() + "), and an earlier one may have run."));
	}

	void enqueue(Exchange exchange, String event) {
		if (exchange.transition(event)) {
			this.context.queue(exchange).add(exchange);
		}
	}

	void drop(Exchange exchange, String cause) {
		this.context.queue(exchange).remove(exchange);
		this.completer.completeWithoutAnswer(exchange, Outcomes.notDispatched(cause));
	}

}
