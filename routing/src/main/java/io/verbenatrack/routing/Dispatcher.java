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
	void dispatchQueued() {
		for (ServiceQueue queue : this.context.queues().values()) {
			dispatchQueued(queue);
		}
	}

	private void dispatchQueued(ServiceQueue queue) {
		while (queue.size() > 0) {
			List<TargetPool.Candidate> eligible = this.context.pool()
				.eligible(queue.service(), this.context.nowNanos());
			boolean anyFree = eligible.stream().anyMatch(TargetPool.Candidate::hasFreeSlot);
			if (!anyFree || !queue.mayDispatch(totalCapacity(eligible))) {
				return;
			}
			Exchange exchange = queue.poll().orElseThrow();
			if (LoadShedding.dropsQueued(exchange.remainingNanos(this.context.nowNanos()), queue.times().meanNanos())) {
				this.admission.drop(exchange, "it could no longer finish before its deadline");
			}
			else {
				dispatch(exchange, eligible);
			}
		}
	}

	private static int totalCapacity(List<TargetPool.Candidate> eligible) {
		return eligible.stream().mapToInt(TargetPool.Candidate::capacity).sum();
	}

	private void dispatch(Exchange exchange, List<TargetPool.Candidate> eligible) {
		TargetState target = this.context.pool().choose(eligible, exchange.triedTargets()).orElseThrow();
		exchange.transition("dispatched");
		if (exchange.attemptsMade() == 0) {
			this.context.budget().recordFirstAttempt();
			scheduleHedge(exchange);
		}
		startAttempt(exchange, target);
	}

	private void startAttempt(Exchange exchange, TargetState target) {
		boolean claimed = exchange.claimAttempt() != null && exchange.attemptsMade() == 0;
		AttemptId id = claimed ? exchange.claimAttempt() : this.context.nextAttempt();
		Attempt attempt = new Attempt(id, exchange, target, this.context.nowNanos());
		exchange.addAttempt(attempt);
		target.dispatchStarted(id, this.context.nowNanos());
		this.context.queue(exchange).dispatchStarted();
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
					exchange.remainingNanos(this.context.nowNanos()))
			.ifPresent((delay) -> this.context.timers()
				.schedule(TimerQueue.Kind.HEDGE, this.context.nowNanos() + delay, exchange.id(), null));
	}

	void hedge(Exchange exchange) {
		ServiceQueue queue = this.context.queue(exchange);
		List<TargetPool.Candidate> eligible = this.context.pool().eligible(queue.service(), this.context.nowNanos());
		boolean worthwhile = exchange.isInState("dispatched") && exchange.openAttempts().size() == 1
				&& queue.size() == 0 && exchange.attemptsMade() < this.context.settings().maximumAttempts()
				&& HedgeDelay.hasSpareSlots(queue.running(), totalCapacity(eligible));
		if (!worthwhile) {
			return;
		}
		Optional<TargetState> target = this.context.pool().choose(eligible, exchange.triedTargets());
		boolean untried = target.isPresent() && !exchange.triedTargets().contains(target.get().spec().id());
		if (untried && this.context.budget().tryWithdraw()) {
			startAttempt(exchange, target.get());
		}
	}

	void attemptAdvanced(Attempt attempt, AttemptStep step) {
		if (!attempt.advance(step) || step != AttemptStep.ANSWER_HALF) {
			return;
		}
		Exchange exchange = attempt.exchange();
		if (exchange.transition("stream-begun")) {
			cancelOthers(exchange, attempt);
			this.context.decide(new RoutingDecision.Stream(exchange.id(), attempt.id(), attempt.target().spec().id()));
		}
		else {
			this.context.decide(new RoutingDecision.Cancel(attempt.id()));
		}
	}

	void attemptEnded(Attempt attempt, AttemptResult reported) {
		AttemptResult result = attempt.end(silentIfOverdue(attempt, reported));
		Exchange exchange = attempt.exchange();
		this.context.attempts().remove(attempt.id());
		exchange.openAttempts().remove(attempt.id());
		this.context.queue(exchange).dispatchFinished();
		recordResult(attempt, result);
		if (result instanceof AttemptResult.Answered) {
			completeAnswered(exchange, attempt);
		}
		else {
			retryOrFail(exchange, result);
		}
		this.completer.removeIfFinished(exchange);
	}

	// A dispatch that was cancelled after the deadline, and had no reply for more than
	// twice the mean service time, counts as a silent target and not as cancelled.
	private AttemptResult silentIfOverdue(Attempt attempt, AttemptResult reported) {
		long elapsed = this.context.nowNanos() - attempt.startedNanos();
		long mean = this.context.queue(attempt.exchange()).times().meanNanos();
		boolean cancelled = reported instanceof AttemptResult.Lost lost && lost.cause() == LossCause.CANCELLED;
		boolean silent = cancelled && attempt.isOverdue() && !attempt.hasReply() && elapsed > 2 * mean;
		return silent ? new AttemptResult.Lost(LossCause.SILENT) : reported;
	}

	private void recordResult(Attempt attempt, AttemptResult result) {
		TargetState target = attempt.target();
		long now = this.context.nowNanos();
		switch (result) {
			case AttemptResult.Answered answered -> {
				target.dispatchAnswered(attempt.id(), now);
				recordServiceTime(attempt);
			}
			case AttemptResult.NotBegun notBegun -> target.dispatchEnded(attempt.id(), now);
			case AttemptResult.NotSent notSent -> target.dispatchFailed(attempt.id(), now);
			case AttemptResult.Lost lost -> {
				if (lost.cause().countsAgainstTarget()) {
					target.dispatchFailed(attempt.id(), now);
				}
				else {
					target.dispatchEnded(attempt.id(), now);
				}
				if (lost.cause() == LossCause.SILENT) {
					this.context.decide(new RoutingDecision.DropConnections(target.spec().id(), target.spec().url()));
				}
			}
		}
	}

	private void recordServiceTime(Attempt attempt) {
		Exchange exchange = attempt.exchange();
		ServiceQueue queue = this.context.queue(exchange);
		int totalCapacity = totalCapacity(this.context.pool().eligible(queue.service(), this.context.nowNanos()));
		queue.recordServiceTime(exchange.request().account(), this.context.nowNanos() - attempt.startedNanos(),
				totalCapacity);
	}

	private void completeAnswered(Exchange exchange, Attempt attempt) {
		cancelOthers(exchange, attempt);
		exchange.markMayHaveRun();
		RequestOutcome<AnswerSource> outcome = new RequestOutcome.Answered<>(attempt.id(), attempt.target().spec().id(),
				new AnswerSource.FromTarget());
		if (!exchange.claimHeld()) {
			this.completer.respond(exchange, outcome);
		}
		else {
			exchange.setPendingOutcome(outcome);
			exchange.transition("keep-due");
			this.completer.keepAnswer(exchange, attempt);
		}
		attempt.acknowledge();
	}

	private void cancelOthers(Exchange exchange, Attempt winner) {
		for (AttemptId id : exchange.openAttempts().keySet()) {
			if (!id.equals(winner.id())) {
				this.context.decide(new RoutingDecision.Cancel(id));
			}
		}
	}

	private void retryOrFail(Exchange exchange, AttemptResult result) {
		if (result instanceof AttemptResult.Lost) {
			exchange.markMayHaveRun();
		}
		if (!exchange.openAttempts().isEmpty()) {
			return;
		}
		if (exchange.isResponded()) {
			releaseIfNotRun(exchange);
		}
		else if (exchange.isInState("dispatched") && mayRetry(exchange, result)) {
			scheduleRetry(exchange);
		}
		else if (exchange.isInState("streaming")) {
			this.completer.respond(exchange, Outcomes.unknown(exchange, "Its answer " + describe(result) + "."));
		}
		else {
			this.completer.completeWithoutAnswer(exchange, Outcomes.notDispatched(describe(result)));
		}
	}

	private void releaseIfNotRun(Exchange exchange) {
		if (exchange.claimHeld() && !exchange.mayHaveRun()) {
			this.completer.releaseClaim(exchange);
		}
	}

	private static String describe(AttemptResult result) {
		return switch (result) {
			case AttemptResult.Answered answered -> "was whole";
			case AttemptResult.NotBegun notBegun -> "the target did not begin it";
			case AttemptResult.NotSent notSent -> notSent.cause();
			case AttemptResult.Lost lost -> lost.cause().description();
		};
	}

	private boolean mayRetry(Exchange exchange, AttemptResult result) {
		boolean safe = exchange.idempotent() || !(result instanceof AttemptResult.Lost);
		boolean unsent = result instanceof AttemptResult.NotSent;
		return safe && (unsent || exchange.accepted().replayable()) && !exchange.callerGone()
				&& exchange.attemptsMade() < this.context.settings().maximumAttempts()
				&& exchange.remainingNanos(this.context.nowNanos()) > this.context.queue(exchange).times().meanNanos()
				&& (unsent || this.context.budget().tryWithdraw());
	}

	private void scheduleRetry(Exchange exchange) {
		exchange.transition("retry-due");
		long delay = RetryBackoff.delayNanos(exchange.attemptsMade(), this.context.settings().backoffBase(),
				this.context.settings().backoffMaximum(), this.context.random());
		this.context.timers().schedule(TimerQueue.Kind.RESUME, this.context.nowNanos() + delay, exchange.id(), null);
	}

	void resume(Exchange exchange) {
		if (exchange.isInState("backing-off")) {
			this.admission.enqueue(exchange, "admitted");
		}
	}

	/**
	 * Stops waiting for the answer of a dispatched request. When no dispatch has reached
	 * a target, the dispatches are cancelled first, so that the request can be reported
	 * as not run.
	 * @param exchange the exchange
	 * @param message the problem message when the outcome is unknown
	 */
	void stopWaiting(Exchange exchange, String message) {
		if (exchange.isInState("dispatched") && !exchange.anyMayHaveReachedTarget() && !exchange.mayHaveRun()) {
			exchange.transition("cancel-requested");
			cancelAll(exchange);
			this.context.timers()
				.schedule(TimerQueue.Kind.CANCEL_GRACE, this.context.nowNanos() + CANCEL_GRACE_NANOS, exchange.id(),
						null);
			return;
		}
		boolean streaming = exchange.isInState("streaming");
		this.completer.respond(exchange, Outcomes.unknown(exchange, message));
		if (exchange.idempotent() || streaming) {
			cancelAll(exchange);
		}
		else {
			long wait = this.context.settings().lateAnswerWait().toNanos();
			this.context.timers()
				.schedule(TimerQueue.Kind.ABANDON, this.context.nowNanos() + wait, exchange.id(), null);
		}
	}

	void cancelAll(Exchange exchange) {
		for (Attempt attempt : exchange.openAttempts().values()) {
			attempt.markOverdue(exchange.remainingNanos(this.context.nowNanos()) <= 0);
			this.context.decide(new RoutingDecision.Cancel(attempt.id()));
		}
	}

}
