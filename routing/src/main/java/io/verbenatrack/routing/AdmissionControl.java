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
		this.context.timers().schedule(Timers.Kind.DEADLINE, event.deadlineNanos(), event.exchange(), null);
		if (open >= this.context.settings().maximumOpen()) {
			refuseUnclaimed(exchange, Outcomes.tooMany(open));
			return;
		}
		exchange.refuseWith(problemOf(exchange));
		if (!exchange.idempotent() && !(exchange.isKnownFirst() && exchange.refusal() != null)) {
			claim(exchange);
		}
		else if (exchange.refusal() != null) {
			refuseUnclaimed(exchange, exchange.refusal());
		}
		else {
			enqueue(exchange, "admitted");
		}
	}

	private Problem problemOf(Exchange exchange) {
		if (this.context.draining()) {
			return Outcomes.shuttingDown();
		}
		ServiceQueue queue = this.context.queue(exchange);
		List<TargetPool.Candidate> eligible = this.context.pool().eligible(queue.service(), this.context.now());
		if (eligible.isEmpty()) {
			return Outcomes.noTarget(exchange);
		}
		int slots = eligible.stream().mapToInt(TargetPool.Candidate::capacity).sum();
		long wait = queue.expectedWaitNanos(exchange, slots);
		boolean refuses = LoadShedding.refuses(wait, this.context.settings().maximumQueueWait().toNanos(),
				exchange.remainingNanos(this.context.now()), queue.times().meanNanos());
		return refuses ? Outcomes.longQueue(wait) : null;
	}

	// Without a claim it is unknown whether an earlier send of the same request ran.
	private void refuseUnclaimed(Exchange exchange, Problem problem) {
		boolean knownFirst = exchange.idempotent() || exchange.isKnownFirst();
		this.completer.tell(exchange, knownFirst ? Outcomes.notRun(problem) : Outcomes.unknown(exchange,
				"This send was not dispatched (" + problem.message() + "), and an earlier one may have run."));
	}

	private void claim(Exchange exchange) {
		if (!exchange.move("claim-requested")) {
			return;
		}
		if (exchange.claimed() == null) {
			exchange.claimFor(this.context.nextAttempt());
		}
		exchange.claimBegan();
		this.context.decide(new RoutingDecision.Claim(exchange.id(), exchange.request(), exchange.accepted().body(),
				exchange.claimed()));
	}

	void recheck(Exchange exchange) {
		if (exchange.is("waiting")) {
			claim(exchange);
		}
	}

	void claimSettled(Exchange exchange, ClaimResult result) {
		if (!exchange.claimEnded()) {
			return;
		}
		boolean own = result instanceof ClaimResult.AlreadyRunning running
				&& running.attempt().equals(exchange.claimed());
		ClaimResult settled = own ? new ClaimResult.Granted() : result;
		if (!exchange.is("claiming")) {
			releaseUnused(exchange, settled);
			return;
		}
		switch (settled) {
			case ClaimResult.Granted granted -> granted(exchange);
			case ClaimResult.AlreadyRunning running -> await(exchange);
			case ClaimResult.Answered kept -> this.completer.tell(exchange, Outcomes.kept(exchange, kept.answer()));
			case ClaimResult.DifferentRequest different -> this.completer.refuse(exchange, Outcomes.differentRequest());
			case ClaimResult.Unavailable unavailable -> refuseUnclaimed(exchange, unavailable.problem());
			case ClaimResult.Unknown unknown -> claimInDoubt(exchange, unknown.problem());
		}
	}

	private void releaseUnused(Exchange exchange, ClaimResult result) {
		if (result instanceof ClaimResult.Granted || result instanceof ClaimResult.Unknown) {
			this.completer.release(exchange);
		}
		this.completer.forgetIfOver(exchange);
	}

	private void granted(Exchange exchange) {
		exchange.holdClaim(true);
		if (exchange.waited()) {
			this.completer.releaseThenTell(exchange, Outcomes.notRun(Outcomes.earlierSendRefused()));
		}
		else if (exchange.callerGone()) {
			this.completer.releaseThenTell(exchange, Outcomes.notRun(Outcomes.notDispatched("the caller left")));
		}
		else if (exchange.refusal() != null) {
			this.completer.releaseThenTell(exchange, Outcomes.notRun(exchange.refusal()));
		}
		else {
			enqueue(exchange, "claim-granted");
		}
	}

	private void await(Exchange exchange) {
		if (exchange.callerGone()) {
			this.completer.tell(exchange, Outcomes.unknown(exchange, "An earlier send of it is running."));
			return;
		}
		exchange.move("claim-held");
		long delay = RECHECK_BASE_NANOS << Math.min(RECHECK_DOUBLINGS, exchange.nextRecheck());
		this.context.timers().schedule(Timers.Kind.RECHECK, this.context.now() + delay, exchange.id(), null);
	}

	private void claimInDoubt(Exchange exchange, Problem problem) {
		exchange.holdClaim(true);
		this.completer.releaseThenTell(exchange, Outcomes.unknown(exchange,
				"This send was not dispatched (" + problem.message() + "), and an earlier one may have run."));
	}

	void enqueue(Exchange exchange, String event) {
		if (exchange.move(event)) {
			this.context.queue(exchange).add(exchange);
		}
	}

	void giveUp(Exchange exchange, String cause) {
		this.context.queue(exchange).remove(exchange);
		this.completer.withoutAnswer(exchange, Outcomes.notDispatched(cause));
	}

}
