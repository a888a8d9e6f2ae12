package io.verbenatrack.server.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.eclipse.jetty.util.component.LifeCycle;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.RequestOutcome;
import io.verbenatrack.routing.AnswerSource;
import io.verbenatrack.routing.AttemptResult;
import io.verbenatrack.routing.ClaimResult;
import io.verbenatrack.routing.ExchangeId;
import io.verbenatrack.routing.KeptAnswer;
import io.verbenatrack.routing.RequestRouter;
import io.verbenatrack.routing.RoutingDecision;
import io.verbenatrack.routing.RoutingEvent;
import io.verbenatrack.routing.SlotUse;

/**
 * Routes the requests of the callers of one instance to targets.
 */
public final class RequestRouting implements AutoCloseable {

	private static final long SLOT_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	private static final long MAINTENANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private final RoutingOptions options;

	private final RequestRouter router;

	private final RoutingLoop loop;

	private final TargetConnectionPool connections;

	private final AtomicLong nextExchange = new AtomicLong();

	private final Map<ExchangeId, CallerExchange> callers = new ConcurrentHashMap<>();

	private final Map<AttemptId, TargetDispatch> dispatches = new HashMap<>();

	private final Map<ExchangeId, AttemptId> answersBeingStored = new HashMap<>();

	private final CompletableFuture<Void> drained = new CompletableFuture<>();

	private long slotsReportedAtNanos;

	private long maintainedAtNanos;

	private volatile RoutingCounts counts = new RoutingCounts(0, 0, 0, 0);

	private RequestRouting(RoutingOptions options) {
		this.options = options;
		this.router = new RequestRouter(options.self(), options.zone(), options.directory(), options.weights(),
				options.settings(), options.random());
		this.connections = new TargetConnectionPool(options.client(), options.monotonic());
		this.loop = new RoutingLoop(this.router, options.monotonic(), this::execute, this::maintain);
	}

	/**
	 * Starts request routing.
	 * @param options the dependencies and limits
	 * @return the running routing
	 */
	public static RequestRouting start(RoutingOptions options) {
		RequestRouting routing = new RequestRouting(options);
		routing.loop.start();
		return routing;
	}

	/**
	 * Creates the HTTP handler for the requests of callers.
	 * @return a handler that leaves all other paths to the next handler
	 */
	public RequestHandler handler() {
		CallerRequestParser parser = new CallerRequestParser(this.options.limits(), this.options.clock(),
				this.options.monotonic());
		return new RequestHandler(this, parser, this.options.limits());
	}

	/**
	 * Sets the instances that share the targets.
	 * @param instances the live instances, this one included
	 */
	public void instancesChanged(List<InstanceId> instances) {
		this.loop.put(new RoutingEvent.InstancesChanged(instances));
	}

	/**
	 * Takes the slot use that another instance reports.
	 * @param use the slot use
	 */
	public void slotUseReceived(SlotUse use) {
		this.loop.put(new RoutingEvent.SlotUseReceived(use));
	}

	/**
	 * Refuses new requests and waits for those in flight.
	 * @param hardDeadline how long to wait before the remaining requests are aborted
	 * @return a future that completes when no request is in flight
	 */
	public CompletableFuture<Void> drain(Duration hardDeadline) {
		this.loop.put(new RoutingEvent.DrainBegan(this.options.monotonic().nanoTime() + hardDeadline.toNanos()));
		return this.drained;
	}

	/**
	 * Returns the counts taken at the last maintenance.
	 * @return the counts
	 */
	public RoutingCounts counts() {
		return this.counts;
	}

	void accept(CallerExchange caller) {
		CallerRequest callerRequest = caller.callerRequest();
		Optional<Problem> admissionProblem = this.options.admissionProblem().get();
		if (admissionProblem.isPresent()) {
			caller.respond(rejection(callerRequest, admissionProblem.get()));
			return;
		}
		ExchangeId id = new ExchangeId(this.nextExchange.getAndIncrement());
		this.callers.put(id, caller);
		caller.httpRequest().addFailureListener((failure) -> this.loop.put(new RoutingEvent.CallerGone(id)));
		boolean offered = this.loop.offer(new RoutingEvent.Accepted(id, callerRequest.spec(), callerRequest.digest(),
				callerRequest.deadlineNanos(), !callerRequest.isStreamed(), callerRequest.firstSend()));
		if (!offered) {
			this.callers.remove(id);
			caller.respond(ringFull(callerRequest));
		}
	}

	private static RequestOutcome<Void> ringFull(CallerRequest callerRequest) {
		return rejection(callerRequest, new Problem(ProblemKind.OVERLOADED, "This instance has too many new requests.",
				"Send it again later; it did not run."));
	}

	private static RequestOutcome<Void> rejection(CallerRequest callerRequest, Problem problem) {
		if (callerRequest.spec().idempotent() || callerRequest.firstSend()) {
			return new RequestOutcome.NotRun<>(problem);
		}
		return new RequestOutcome.Unknown<>(new Problem(ProblemKind.UNKNOWN_OUTCOME,
				"This send was not dispatched, and an earlier one may have run.",
				"Send the same request id again to learn its outcome."));
	}

	private void execute(RoutingEvent event, List<RoutingDecision> decisions) {
		decisions.forEach(this::execute);
		discardAnswer(event);
	}

	private void execute(RoutingDecision decision) {
		switch (decision) {
			case RoutingDecision.Claim claim -> this.options.claims()
				.claim(claim.request(), claim.body(), claim.attempt())
				.exceptionally(RequestRouting::claimFailed)
				.thenAccept((result) -> this.loop.put(new RoutingEvent.ClaimCompleted(claim.exchange(), result)));
			case RoutingDecision.Release release -> this.options.claims()
				.release(release.request(), release.attempt())
				.whenComplete((done, failure) -> this.loop.put(new RoutingEvent.ReleaseCompleted(release.exchange())));
			case RoutingDecision.KeepAnswer keep -> storeAnswer(keep);
			case RoutingDecision.Dispatch dispatch -> dispatch(dispatch);
			case RoutingDecision.Cancel cancel -> cancel(cancel.attempt());
			case RoutingDecision.Stream stream -> stream(stream);
			case RoutingDecision.Respond respond -> respond(respond.exchange(), respond.outcome());
			case RoutingDecision.Refuse refuse -> this.callers.remove(refuse.exchange()).refuse(refuse.problem());
			case RoutingDecision.DropConnections drop -> this.connections.closeIdle(drop.url());
			case RoutingDecision.Drained done -> this.drained.complete(null);
		}
	}

	private static ClaimResult claimFailed(Throwable failure) {
		return new ClaimResult.Unknown(new Problem(ProblemKind.UNKNOWN_OUTCOME,
				"The claim failed: " + failure.getMessage(), "Send the same request id again."));
	}

	private void dispatch(RoutingDecision.Dispatch decision) {
		CallerExchange caller = this.callers.get(decision.exchange());
		TargetDispatch dispatch = new TargetDispatch(decision, caller, this.connections, this.loop::put,
				this.options.limits());
		this.dispatches.put(decision.attempt(), dispatch);
		dispatch.start(this.options.client(), this.options.monotonic());
	}

	private void cancel(AttemptId attempt) {
		TargetDispatch dispatch = this.dispatches.get(attempt);
		if (dispatch != null) {
			dispatch.cancel();
		}
	}

	private void stream(RoutingDecision.Stream decision) {
		AnswerReader reader = this.dispatches.get(decision.attempt()).reader();
		CallerExchange caller = this.callers.get(decision.exchange());
		caller.writeHead(decision.attempt(), decision.target(), reader.head().contentType(), reader.head().length(),
				reader.head().digest());
		reader.streamTo(caller);
	}

	private void storeAnswer(RoutingDecision.KeepAnswer keep) {
		AnswerReader reader = this.dispatches.get(keep.answered()).reader();
		this.answersBeingStored.put(keep.exchange(), keep.answered());
		byte[] body = reader.isBuffered() ? reader.bufferedBody() : new byte[0];
		KeptAnswer answer = new KeptAnswer(keep.answered(), keep.target(), reader.head().contentType(), body,
				reader.isBuffered());
		this.options.claims()
			.keepAnswer(keep.request(), keep.claimed(), answer)
			.whenComplete((kept, failure) -> this.loop.put(new RoutingEvent.KeepAnswerCompleted(keep.exchange())));
	}

	private void respond(ExchangeId exchange, RequestOutcome<AnswerSource> outcome) {
		CallerExchange caller = this.callers.remove(exchange);
		if (!(outcome instanceof RequestOutcome.Answered<AnswerSource> answered)) {
			caller.respond(outcome);
			return;
		}
		switch (answered.body()) {
			case AnswerSource.FromStore store -> caller.answer(answered.attempt(), answered.target(),
					store.answer().contentType(), store.answer().body());
			case AnswerSource.FromTarget fromTarget -> answer(caller, answered);
		}
	}

	private void answer(CallerExchange caller, RequestOutcome.Answered<AnswerSource> answered) {
		AnswerReader reader = this.dispatches.remove(answered.attempt()).reader();
		if (reader.isBuffered()) {
			caller.answer(answered.attempt(), answered.target(), reader.head().contentType(), reader.bufferedBody());
		}
		else {
			caller.writeLastPart(reader.withheldPart());
		}
	}

	// An answer is retained until it has been sent to the caller and stored, or until no
	// caller waits for it.
	private void discardAnswer(RoutingEvent event) {
		if (event instanceof RoutingEvent.KeepAnswerCompleted completed) {
			AttemptId kept = this.answersBeingStored.remove(completed.exchange());
			this.dispatches.remove(kept);
		}
		else if (event instanceof RoutingEvent.AttemptEnded ended && !(ended.result() instanceof AttemptResult.Answered
				&& this.answersBeingStored.containsValue(ended.attempt()))) {
			this.dispatches.remove(ended.attempt());
		}
	}

	private void maintain() {
		long now = this.options.monotonic().nanoTime();
		if (now - this.slotsReportedAtNanos >= SLOT_REPORT_NANOS) {
			this.slotsReportedAtNanos = now;
			this.router.slotUses(now).forEach(this.options.slotUses());
		}
		if (now - this.maintainedAtNanos >= MAINTENANCE_NANOS) {
			this.maintainedAtNanos = now;
			this.connections.maintain();
			this.counts = new RoutingCounts(this.router.openExchanges(), this.router.queuedRequests(),
					this.router.ejectedTargets(), this.connections.silentConnections());
		}
	}

	@Override
	public void close() throws InterruptedException {
		this.loop.close();
		this.connections.close();
		LifeCycle.stop(this.options.client());
	}

}
