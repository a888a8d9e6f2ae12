package io.verbenatrack.routing;

import java.util.List;
import java.util.Optional;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.RequestOutcome;
import io.verbenatrack.routing.rules.HedgeDelay;
import io.verbenatrack.routing.rules.LoadShedding;
import io.verbenatrack.routing.rules.RetryBackoff;

/**
 * Dispatches queued requests, and answers, retries or fails them when a dispatch ends.
 */
final class Dispatcher {

	private static final long CANCEL_GRACE_NANOS = 50_000_000;

	private final RouterContext context;

	private final ExchangeCompleter completer;

	private final AdmissionControl admission;

	Dispatcher(RouterContext context, ExchangeCompleter completer, AdmissionControl admission) {
		this.context = context;
		this.completer = completer;
		this.admission = admission;
	}

	/** Dispatches queued requests while slots and concurrency limits allow. */
	void pump() {
		for (ServiceQueue queue : this.context.queues().values()) {
			pump(queue);
		}
	}

	private void pump(ServiceQueue queue) {
		while (queue.size() > 0) {
			List<TargetPool.Candidate> eligible = this.context.pool().eligible(queue.service(), this.context.now());
			boolean free = eligible.stream().anyMatch(TargetPool.Candidate::hasRoom);
			if (!free || !queue.hasRoom(slots(eligible))) {
				return;
			}
			Exchange exchange = queue.poll().orElseThrow();
			if (LoadShedding.givesUp(exchange.remainingNanos(this.context.now()), queue.times().meanNanos())) {
				this.admission.giveUp(exchange, "it could no longer finish before its deadline");
			}
			else {
				dispatch(exchange, eligible);
			}
		}
	}

	private static int slots(List<TargetPool.Candidate> eligible) {
		return eligible.stream().mapToInt(TargetPool.Candidate::capacity).sum();
	}

	private void dispatch(Exchange exchange, List<TargetPool.Candidate> eligible) {
		TargetState target = this.context.pool().choose(eligible, exchange.tried()).orElseThrow();
		exchange.move("dispatched");
		if (exchange.attemptsMade() == 0) {
			this.context.budget().firstAttempt();
			scheduleHedge(exchange);
		}
		begin(exchange, target);
	}

	private void begin(Exchange exchange, TargetState target) {
		boolean claimed = exchange.claimed() != null && exchange.attemptsMade() == 0;
		AttemptId id = claimed ? exchange.claimed() : this.context.nextAttempt();
		Attempt attempt = new Attempt(id, exchange, target, this.context.now());
		exchange.begin(attempt);
		target.begin(id, this.context.now());
		this.context.queue(exchange).began();
		this.context.attempts().put(id, attempt);
		this.context.decide(
				new RoutingDecision.Dispatch(exchange.id(), id, target.spec(), exchange.accepted().deadlineNanos()));
	}

	private void scheduleHedge(Exchange exchange) {
		if (!exchange.idempotent() || !exchange.accepted().replayable()) {
			return;
		}
		ServiceTimes times = this.context.queue(exchange).times();
		HedgeDelay
			.delayNanos(times.samples(), times.meanNanos(), times.deviationNanos(),
					exchange.remainingNanos(this.context.now()))
			.ifPresent((delay) -> this.context.timers()
				.schedule(Timers.Kind.HEDGE, this.context.now() + delay, exchange.id(), null));
	}

	void hedge(Exchange exchange) {
		ServiceQueue queue = this.context.queue(exchange);
		List<TargetPool.Candidate> eligible = this.context.pool().eligible(queue.service(), this.context.now());
		boolean pays = exchange.is("dispatched") && exchange.open().size() == 1 && queue.size() == 0
				&& exchange.attemptsMade() < this.context.settings().maximumAttempts()
				&& HedgeDelay.hasRoom(queue.running(), slots(eligible));
		if (!pays) {
			return;
		}
		Optional<TargetState> target = this.context.pool().choose(eligible, exchange.tried());
		boolean other = target.isPresent() && !exchange.tried().contains(target.get().spec().id());
		if (other && this.context.budget().tryWithdraw()) {
			begin(exchange, target.get());
		}
	}

	void advanced(Attempt attempt, AttemptStep step) {
		if (!attempt.advance(step) || step != AttemptStep.ANSWER_HALF) {
			return;
		}
		Exchange exchange = attempt.exchange();
		if (exchange.move("stream-begun")) {
			cancelOthers(exchange, attempt);
			this.context.decide(new RoutingDecision.Stream(exchange.id(), attempt.id(), attempt.target().spec().id()));
		}
		else {
			this.context.decide(new RoutingDecision.Cancel(attempt.id()));
		}
	}

	void ended(Attempt attempt, AttemptResult reported) {
		AttemptResult result = attempt.end(silentWhenOverdue(attempt, reported));
		Exchange exchange = attempt.exchange();
		this.context.attempts().remove(attempt.id());
		exchange.open().remove(attempt.id());
		this.context.queue(exchange).ended();
		record(attempt, result);
		if (result instanceof AttemptResult.Answered) {
			answered(exchange, attempt);
		}
		else {
			failed(exchange, result);
		}
		this.completer.forgetIfOver(exchange);
	}

	// A dispatch that was cancelled after the deadline, and had no reply for more than
	// twice the mean service time, counts as a silent target and not as cancelled.
	private AttemptResult silentWhenOverdue(Attempt attempt, AttemptResult reported) {
		long waited = this.context.now() - attempt.beganNanos();
		long usual = this.context.queue(attempt.exchange()).times().meanNanos();
		boolean cancelled = reported instanceof AttemptResult.Lost lost && lost.cause() == LossCause.CANCELLED;
		boolean silent = cancelled && attempt.isOverdue() && !attempt.isReplied() && waited > 2 * usual;
		return silent ? new AttemptResult.Lost(LossCause.SILENT) : reported;
	}

	private void record(Attempt attempt, AttemptResult result) {
		TargetState target = attempt.target();
		long now = this.context.now();
		switch (result) {
			case AttemptResult.Answered answered -> {
				target.answered(attempt.id(), now);
				measure(attempt);
			}
			case AttemptResult.NotBegun notBegun -> target.ended(attempt.id(), now);
			case AttemptResult.NotSent notSent -> target.failed(attempt.id(), now);
			case AttemptResult.Lost lost -> {
				if (lost.cause().countsAgainstTarget()) {
					target.failed(attempt.id(), now);
				}
				else {
					target.ended(attempt.id(), now);
				}
				if (lost.cause() == LossCause.SILENT) {
					this.context.decide(new RoutingDecision.DropConnections(target.spec().id(), target.spec().url()));
				}
			}
		}
	}

	private void measure(Attempt attempt) {
		Exchange exchange = attempt.exchange();
		ServiceQueue queue = this.context.queue(exchange);
		int slots = slots(this.context.pool().eligible(queue.service(), this.context.now()));
		queue.measured(exchange.request().account(), this.context.now() - attempt.beganNanos(), slots);
	}

	private void answered(Exchange exchange, Attempt attempt) {
		cancelOthers(exchange, attempt);
		exchange.markMayHaveRun();
		RequestOutcome<AnswerSource> outcome = new RequestOutcome.Answered<>(attempt.id(), attempt.target().spec().id(),
				new AnswerSource.FromTarget());
		if (!exchange.claimHeld()) {
			this.completer.tell(exchange, outcome);
		}
		else {
			exchange.pend(outcome);
			exchange.move("keep-due");
			this.completer.keep(exchange, attempt);
		}
		attempt.acknowledge();
	}

	private void cancelOthers(Exchange exchange, Attempt winner) {
		for (AttemptId id : exchange.open().keySet()) {
			if (!id.equals(winner.id())) {
				this.context.decide(new RoutingDecision.Cancel(id));
			}
		}
	}

	private void failed(Exchange exchange, AttemptResult result) {
		if (result instanceof AttemptResult.Lost) {
			exchange.markMayHaveRun();
		}
		if (!exchange.open().isEmpty()) {
			return;
		}
		if (exchange.isTold()) {
			releaseLate(exchange);
		}
		else if (exchange.is("dispatched") && retryPays(exchange, result)) {
			backOff(exchange);
		}
		else if (exchange.is("streaming")) {
			this.completer.tell(exchange, Outcomes.unknown(exchange, "Its answer " + text(result) + "."));
		}
		else {
			this.completer.withoutAnswer(exchange, Outcomes.notDispatched(text(result)));
		}
	}

	private void releaseLate(Exchange exchange) {
		if (exchange.claimHeld() && !exchange.mayHaveRun()) {
			this.completer.release(exchange);
		}
	}

	private static String text(AttemptResult result) {
		return switch (result) {
			case AttemptResult.Answered answered -> "was whole";
			case AttemptResult.NotBegun notBegun -> "the target did not begin it";
			case AttemptResult.NotSent notSent -> notSent.cause();
			case AttemptResult.Lost lost -> lost.cause().text();
		};
	}

	private boolean retryPays(Exchange exchange, AttemptResult result) {
		boolean safe = exchange.idempotent() || !(result instanceof AttemptResult.Lost);
		boolean unsent = result instanceof AttemptResult.NotSent;
		return safe && (unsent || exchange.accepted().replayable()) && !exchange.callerGone()
				&& exchange.attemptsMade() < this.context.settings().maximumAttempts()
				&& exchange.remainingNanos(this.context.now()) > this.context.queue(exchange).times().meanNanos()
				&& (unsent || this.context.budget().tryWithdraw());
	}

	private void backOff(Exchange exchange) {
		exchange.move("retry-due");
		long delay = RetryBackoff.delayNanos(exchange.attemptsMade(), this.context.settings().backoffBase(),
				this.context.settings().backoffMaximum(), this.context.random());
		this.context.timers().schedule(Timers.Kind.RESUME, this.context.now() + delay, exchange.id(), null);
	}

	void resume(Exchange exchange) {
		if (exchange.is("backing-off")) {
			this.admission.enqueue(exchange, "admitted");
		}
	}

	/**
	 * Stops waiting for the answer of a dispatched request. When no dispatch has reached
	 * a target, the dispatches are cancelled first, so that the request can be reported
	 * as not run.
	 * @param exchange the exchange
	 * @param finding the problem message when the outcome is unknown
	 */
	void stopWaiting(Exchange exchange, String finding) {
		if (exchange.is("dispatched") && !exchange.anyBegun() && !exchange.mayHaveRun()) {
			exchange.move("cancel-requested");
			cancelAll(exchange);
			this.context.timers()
				.schedule(Timers.Kind.CANCEL_GRACE, this.context.now() + CANCEL_GRACE_NANOS, exchange.id(), null);
			return;
		}
		boolean streaming = exchange.is("streaming");
		this.completer.tell(exchange, Outcomes.unknown(exchange, finding));
		if (exchange.idempotent() || streaming) {
			cancelAll(exchange);
		}
		else {
			long wait = this.context.settings().lateAnswerWait().toNanos();
			this.context.timers().schedule(Timers.Kind.ABANDON, this.context.now() + wait, exchange.id(), null);
		}
	}

	void cancelAll(Exchange exchange) {
		for (Attempt attempt : exchange.open().values()) {
			attempt.markOverdue(exchange.remainingNanos(this.context.now()) <= 0);
			this.context.decide(new RoutingDecision.Cancel(attempt.id()));
		}
	}

}
