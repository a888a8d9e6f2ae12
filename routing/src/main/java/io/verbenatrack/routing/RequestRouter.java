package io.verbenatrack.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.ZoneId;

/**
 * Routes requests as a deterministic state machine: it takes events with their times and
 * returns decisions.
 * <p>
 * It starts no threads, reads no clock and does no input or output, so that the same
 * events and random seed always produce the same decisions. Not thread-safe; a single
 * thread must call it.
 */
public final class RequestRouter {

	private static final long DETECTION_INTERVAL_NANOS = Duration.ofMillis(100).toNanos();

	private final RouterContext context;

	private final ExchangeCompleter completer;

	private final AdmissionControl admission;

	private final Dispatcher dispatcher;

	private long outliersDetectedAtNanos = Long.MIN_VALUE;

	private long hardDeadlineNanos = Long.MAX_VALUE;

	private boolean drained;

	/**
	 * Creates a router without requests.
	 * @param self the instance that the router runs on
	 * @param zone the availability zone of the instance
	 * @param directory the known targets
	 * @param weights the scheduling weights of client accounts
	 * @param settings the limits
	 * @param random the random number generator; it also supplies the part of the attempt
	 * ids that distinguishes this start of the instance from earlier ones
	 */
	public RequestRouter(InstanceId self, ZoneId zone, TargetDirectory directory, AccountWeights weights,
			RoutingSettings settings, RandomGenerator random) {
		TargetPool pool = new TargetPool(self, zone, directory, settings, random);
		this.context = new RouterContext(self.value(), settings, pool, weights, random);
		this.completer = new ExchangeCompleter(this.context);
		this.admission = new AdmissionControl(this.context, this.completer);
		this.dispatcher = new Dispatcher(this.context, this.completer, this.admission);
	}

	/**
	 * Processes an event and all timers that are due.
	 * @param event the event
	 * @param nowNanos the monotonic time in nanoseconds, not before that of the previous
	 * call
	 * @return the decisions, in the order in which they must be carried out
	 */
	public List<RoutingDecision> handle(RoutingEvent event, long nowNanos) {
		this.context.beginEvent(nowNanos);
		process(event);
		fireTimers();
		detectOutliers();
		this.dispatcher.dispatchQueued();
		completeDrain();
		return this.context.decisions();
	}

	/**
	 * Returns when {@link RoutingEvent.Ticked} must be passed in at the latest.
	 * @return the monotonic time in nanoseconds, or empty when no timer is set
	 */
	public OptionalLong nextWakeUpNanos() {
		return this.context.timers().next();
	}

	/**
	 * Returns the number of open exchanges, including those that were answered but have
	 * dispatches or claim store calls in progress.
	 * @return the number of exchanges
	 */
	public int openExchanges() {
		return this.context.exchanges().size();
	}

	/**
	 * Returns the number of requests that wait for a slot.
	 * @return the number over all services
	 */
	public int queuedRequests() {
		return this.context.queues().values().stream().mapToInt(ServiceQueue::size).sum();
	}

	/**
	 * Returns the number of targets that are ejected as outliers.
	 * @return the number over all services
	 */
	public int ejectedTargets() {
		return (int) this.context.pool().states().stream().filter(TargetState::isEjected).count();
	}

	/**
	 * Updates the slot loans and returns the slot use to send to the other instances.
	 * Must be called every 250 ms.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the slot use of each target, without targets that have nothing to report
	 */
	public List<SlotUse> slotUses(long nowNanos) {
		List<SlotUse> uses = new ArrayList<>();
		for (ServiceQueue queue : this.context.queues().values()) {
			List<TargetPool.Candidate> eligible = this.context.pool().eligible(queue.service(), nowNanos);
			int wanted = Math.ceilDiv(queue.size(), Math.max(1, eligible.size()));
			for (TargetPool.Candidate candidate : eligible) {
				this.context.pool()
					.slotAllocator()
					.report(candidate.view().spec(), candidate.state().inFlight(), wanted, nowNanos)
					.ifPresent(uses::add);
			}
		}
		return uses;
	}

	private void process(RoutingEvent event) {
		switch (event) {
			case RoutingEvent.Accepted accepted -> this.admission.accept(accepted);
			case RoutingEvent.ClaimCompleted completed -> exchange(completed.exchange())
				.ifPresent((exchange) -> this.admission.claimCompleted(exchange, completed.result()));
			case RoutingEvent.ReleaseCompleted completed ->
				exchange(completed.exchange()).ifPresent(this.completer::storeCallCompleted);
			case RoutingEvent.KeepAnswerCompleted completed ->
				exchange(completed.exchange()).ifPresent(this.completer::storeCallCompleted);
			case RoutingEvent.AttemptAdvanced advanced ->
				Optional.ofNullable(this.context.attempts().get(advanced.attempt()))
					.ifPresent((attempt) -> this.dispatcher.attemptAdvanced(attempt, advanced.step()));
			case RoutingEvent.AttemptEnded ended -> Optional.ofNullable(this.context.attempts().get(ended.attempt()))
				.ifPresent((attempt) -> this.dispatcher.attemptEnded(attempt, ended.result()));
			case RoutingEvent.CallerGone gone -> exchange(gone.exchange()).ifPresent(this::callerGone);
			case RoutingEvent.InstancesChanged changed ->
				this.context.pool().slotAllocator().setInstances(changed.instances());
			case RoutingEvent.SlotUseReceived received ->
				this.context.pool().slotAllocator().receive(received.use(), this.context.nowNanos());
			case RoutingEvent.DrainBegan began -> beginDrain(began.hardDeadlineNanos());
			case RoutingEvent.Ticked ticked -> {
			}
		}
	}

	private Optional<Exchange> exchange(ExchangeId id) {
		return Optional.ofNullable(this.context.exchanges().get(id));
	}

	private void fireTimers() {
		Optional<TimerQueue.Timer> due = this.context.timers().pollDue(this.context.nowNanos());
		while (due.isPresent()) {
			TimerQueue.Kind kind = due.get().kind();
			exchange(due.get().exchange()).ifPresent((exchange) -> fire(kind, exchange));
			due = this.context.timers().pollDue(this.context.nowNanos());
		}
	}

	private void fire(TimerQueue.Kind kind, Exchange exchange) {
		switch (kind) {
			case DEADLINE -> stopWaiting(exchange, "Its deadline passed.");
			case CANCEL_GRACE -> respondIfCancelling(exchange);
			case RECHECK -> this.admission.retryClaim(exchange);
			case RESUME -> this.dispatcher.resume(exchange);
			case HEDGE -> this.dispatcher.hedge(exchange);
			case ABANDON -> this.dispatcher.cancelAll(exchange);
		}
	}

	private void respondIfCancelling(Exchange exchange) {
		if (exchange.isInState("cancelling")) {
			this.completer.respond(exchange,
					Outcomes.unknown(exchange, "Its deadline passed while it was dispatched."));
		}
	}

	private void stopWaiting(Exchange exchange, String message) {
		switch (exchange.state()) {
			case "claiming" -> stopClaiming(exchange, message);
			case "waiting" -> this.completer.respond(exchange,
					Outcomes.unknown(exchange, "Another send of it holds the claim and has no answer yet."));
			case "queued", "backing-off" -> this.admission.drop(exchange, "no slot was free before its deadline");
			case "dispatched", "streaming" -> this.dispatcher.stopWaiting(exchange, message);
			case "keeping", "releasing" -> this.completer.respond(exchange, exchange.pendingOutcome());
			default -> {
			}
		}
	}

	private void stopClaiming(Exchange exchange, String message) {
		boolean first = exchange.isFirstSend();
		this.completer.respond(exchange, first ? Outcomes.notRun(Outcomes.notDispatched("its claim took too long"))
				: Outcomes.unknown(exchange, message + " An earlier send may have run."));
	}

	private void callerGone(Exchange exchange) {
		exchange.markCallerGone();
		switch (exchange.state()) {
			case "queued", "backing-off" -> this.admission.drop(exchange, "the caller left");
			case "waiting" -> stopWaiting(exchange, "The caller left.");
			case "dispatched", "streaming" -> callerGoneDuringDispatch(exchange);
			default -> {
			}
		}
	}

	// A request that is not idempotent runs on, so that its answer can be stored for a
	// resend.
	private void callerGoneDuringDispatch(Exchange exchange) {
		if (exchange.idempotent() || exchange.isInState("streaming")) {
			this.dispatcher.stopWaiting(exchange, "The caller left.");
		}
	}

	private void detectOutliers() {
		if (this.context.nowNanos() - this.outliersDetectedAtNanos < DETECTION_INTERVAL_NANOS
				&& this.outliersDetectedAtNanos != Long.MIN_VALUE) {
			return;
		}
		this.outliersDetectedAtNanos = this.context.nowNanos();
		this.context.queues()
			.keySet()
			.forEach((service) -> this.context.pool().detectOutliers(service, this.context.nowNanos()));
		this.context.pool().removeIdle(this.context.nowNanos());
	}

	private void beginDrain(long hardDeadline) {
		this.context.beginDrain();
		this.hardDeadlineNanos = hardDeadline;
	}

	private void completeDrain() {
		if (!this.context.draining() || this.drained) {
			return;
		}
		boolean deadlinePassed = this.context.nowNanos() >= this.hardDeadlineNanos;
		if (deadlinePassed) {
			List.copyOf(this.context.exchanges().values()).forEach(this::abort);
		}
		if (deadlinePassed || this.context.exchanges().isEmpty()) {
			this.drained = true;
			this.context.decide(new RoutingDecision.Drained());
		}
	}

	private void abort(Exchange exchange) {
		stopWaiting(exchange, "This instance shut down while it ran.");
		this.dispatcher.cancelAll(exchange);
		if (exchange.isInState("cancelling")) {
			respondIfCancelling(exchange);
		}
	}

}
